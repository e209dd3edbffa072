package table

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"crocusramp.dev/crocusramp/pkg/standin/internal/admin"
)

// The limits of the service that callers must keep.
const (
	maxItems     = 100     // writes in one transaction
	maxPageBytes = 1 << 20 // of values in one answer to a query
	maxBodyBytes = 8 << 20
)

// The expressions that the service accepts, as package dynamo writes them.
const (
	conditionAbsent   = "attribute_not_exists(pk)"
	conditionRevision = "rev = :rev"
	keyPartition      = "pk = :pk"
	keyAfter          = "pk = :pk AND sk > :after"
)

var (
	errTokenMismatch = errors.New("token used before with another transaction")
	errValidation    = errors.New("validation")
)

// attribute is a typed value; exactly one field is set.
type attribute struct {
	S *string `json:"S,omitempty"`
	N *string `json:"N,omitempty"`
	B []byte  `json:"B,omitempty"`
}

type attributes map[string]attribute

func stringAttribute(s string) attribute { return attribute{S: &s} }

func (a attributes) text(name string) (string, error) {
	v, ok := a[name]
	if !ok || v.S == nil || *v.S == "" {
		return "", fmt.Errorf("%w: attribute %q must be a string that is not empty", errValidation, name)
	}
	return *v.S, nil
}

func (a attributes) number(name string) (int64, error) {
	v, ok := a[name]
	if !ok || v.N == nil {
		return 0, fmt.Errorf("%w: attribute %q must be a number", errValidation, name)
	}
	n, err := strconv.ParseInt(*v.N, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%w: attribute %q: %v", errValidation, name, err)
	}
	return n, nil
}

func (a attributes) key() (key, error) {
	partition, err := a.text("pk")
	if err != nil {
		return key{}, err
	}
	sort, err := a.text("sk")
	return key{partition, sort}, err
}

func itemAttributes(k key, r row) attributes {
	revision := strconv.FormatInt(r.revision, 10)
	a := attributes{"pk": stringAttribute(k.partition), "sk": stringAttribute(k.sort), "rev": {N: &revision}}
	if len(r.value) > 0 {
		a["val"] = attribute{B: r.value}
	}
	return a
}

type getInput struct {
	TableName      string
	Key            attributes
	ConsistentRead bool
}

type queryInput struct {
	TableName                 string
	KeyConditionExpression    string
	ExpressionAttributeValues attributes
	ConsistentRead            bool
	ExclusiveStartKey         attributes
	Limit                     int
}

type transactInput struct {
	ClientRequestToken string
	TransactItems      []struct {
		Put    *conditionalWrite
		Delete *conditionalWrite
	}
}

type conditionalWrite struct {
	TableName                 string
	Item                      attributes
	Key                       attributes
	ConditionExpression       string
	ExpressionAttributeValues attributes
}

func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	_, call, _ := strings.Cut(r.Header.Get("X-Amz-Target"), ".")
	switch call {
	case "GetItem":
		s.serveGet(w, r)
	case "Query":
		s.serveQuery(w, r)
	case "TransactWriteItems":
		s.serveTransact(w, r)
	default:
		writeError(w, http.StatusBadRequest, "UnknownOperationException", "the stand-in has no such call", nil)
	}
}

func (s *Server) serveGet(w http.ResponseWriter, r *http.Request) {
	var in getInput
	if !decode(w, r, &in) {
		return
	}
	k, err := in.Key.key()
	if err != nil {
		writeValidation(w, err)
		return
	}
	if s.faults.ThrottleRead() {
		writeThrottled(w)
		return
	}
	out := struct {
		Item attributes `json:",omitempty"`
	}{}
	if found, ok := s.get(k); ok {
		out.Item = itemAttributes(k, found)
	}
	writeAnswer(w, out)
}

func (s *Server) serveQuery(w http.ResponseWriter, r *http.Request) {
	var in queryInput
	if !decode(w, r, &in) {
		return
	}
	partition, after, err := in.bounds()
	if err != nil {
		writeValidation(w, err)
		return
	}
	if s.faults.ThrottleRead() {
		writeThrottled(w)
		return
	}
	found, more := s.list(partition, after, in.Limit)
	out := struct {
		Items            []attributes
		Count            int
		LastEvaluatedKey attributes `json:",omitempty"`
	}{Items: []attributes{}}
	size := 0
	for _, f := range found {
		out.Items = append(out.Items, itemAttributes(f.key, f.row))
		size += len(f.row.value)
		if size >= maxPageBytes && len(out.Items) < len(found) {
			more = true
			break
		}
	}
	out.Count = len(out.Items)
	if more {
		last := found[out.Count-1].key
		out.LastEvaluatedKey = attributes{"pk": stringAttribute(last.partition), "sk": stringAttribute(last.sort)}
	}
	writeAnswer(w, out)
}

// bounds returns the partition and the sort key after which items are listed.
func (in queryInput) bounds() (partition, after string, err error) {
	partition, err = in.ExpressionAttributeValues.text(":pk")
	if err != nil {
		return "", "", err
	}
	switch in.KeyConditionExpression {
	case keyPartition:
	case keyAfter:
		if after, err = in.ExpressionAttributeValues.text(":after"); err != nil {
			return "", "", err
		}
	default:
		return "", "", fmt.Errorf("%w: key condition %q is not supported", errValidation, in.KeyConditionExpression)
	}
	if in.ExclusiveStartKey == nil {
		return partition, after, nil
	}
	start, err := in.ExclusiveStartKey.key()
	return partition, max(after, start.sort), err
}

func (s *Server) serveTransact(w http.ResponseWriter, r *http.Request) {
	var in transactInput
	if !decode(w, r, &in) {
		return
	}
	t, err := in.transaction()
	if err != nil {
		writeValidation(w, err)
		return
	}
	if s.faults.ThrottleWrite(len(t)) {
		writeThrottled(w)
		return
	}
	if s.faults.Conflict() {
		writeCancelled(w, len(t), "TransactionConflict", []int{0})
		return
	}
	failed, err := s.apply(in.ClientRequestToken, t)
	switch {
	case s.faults.LoseAnswer():
		admin.Drop(w)
	case err != nil:
		writeError(w, http.StatusBadRequest, "IdempotentParameterMismatchException", err.Error(), nil)
	case len(failed) > 0:
		writeCancelled(w, len(t), "ConditionalCheckFailed", failed)
	default:
		writeAnswer(w, struct{}{})
	}
}

func (in transactInput) transaction() (transaction, error) {
	if len(in.TransactItems) == 0 || len(in.TransactItems) > maxItems {
		return nil, fmt.Errorf("%w: %d writes in one transaction", errValidation, len(in.TransactItems))
	}
	seen := map[key]bool{}
	var t transaction
	for _, item := range in.TransactItems {
		var w write
		var err error
		switch {
		case item.Put != nil:
			w, err = item.Put.put()
		case item.Delete != nil:
			w, err = item.Delete.remove()
		default:
			err = fmt.Errorf("%w: only Put and Delete are supported", errValidation)
		}
		if err != nil {
			return nil, err
		}
		if seen[w.key] {
			return nil, fmt.Errorf("%w: two writes of one item", errValidation)
		}
		seen[w.key] = true
		t = append(t, w)
	}
	return t, nil
}

func (c *conditionalWrite) put() (write, error) {
	k, err := c.Item.key()
	if err != nil {
		return write{}, err
	}
	revision, err := c.Item.number("rev")
	if err != nil {
		return write{}, err
	}
	ifRevision, err := c.condition()
	return write{key: k, ifRevision: ifRevision, row: row{revision, c.Item["val"].B}}, err
}

func (c *conditionalWrite) remove() (write, error) {
	k, err := c.Key.key()
	if err != nil {
		return write{}, err
	}
	ifRevision, err := c.condition()
	return write{key: k, ifRevision: ifRevision, remove: true}, err
}

func (c *conditionalWrite) condition() (ifRevision int64, err error) {
	switch c.ConditionExpression {
	case conditionAbsent:
		return 0, nil
	case conditionRevision:
		return c.ExpressionAttributeValues.number(":rev")
	default:
		return 0, fmt.Errorf("%w: condition %q is not supported", errValidation, c.ConditionExpression)
	}
}

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		writeError(w, http.StatusBadRequest, "SerializationException", err.Error(), nil)
		return false
	}
	return true
}

func writeAnswer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/x-amz-json-1.0")
	_ = json.NewEncoder(w).Encode(v) // the client may have left
}

// reason is why one write of a transaction was refused.
type reason struct {
	Code    string
	Message string `json:",omitempty"`
}

func writeCancelled(w http.ResponseWriter, writes int, code string, failed []int) {
	reasons := make([]reason, writes)
	for i := range reasons {
		reasons[i].Code = "None"
	}
	for _, i := range failed {
		reasons[i] = reason{Code: code, Message: "refused"}
	}
	writeError(w, http.StatusBadRequest, "TransactionCanceledException", "transaction cancelled", reasons)
}

func writeThrottled(w http.ResponseWriter) {
	writeError(w, http.StatusBadRequest, "ProvisionedThroughputExceededException", "over the provisioned rate", nil)
}

func writeValidation(w http.ResponseWriter, err error) {
	writeError(w, http.StatusBadRequest, "ValidationException", err.Error(), nil)
}

func writeError(w http.ResponseWriter, status int, code, message string, reasons []reason) {
	w.Header().Set("Content-Type", "application/x-amz-json-1.0")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(struct {
		Type                string   `json:"__type"`
		Message             string   `json:"message"`
		CancellationReasons []reason `json:",omitempty"`
	}{"com.amazonaws.dynamodb.v20120810#" + code, message, reasons})
}
