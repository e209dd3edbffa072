// Package dynamo reaches the platform's transactional table by the DynamoDB
// protocol. Items have the attributes pk and sk (S), rev (N) and val (B).
package dynamo

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/aws/retry"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/google/uuid"

	"crocusramp.dev/crocusramp/pkg/platform"
	"crocusramp.dev/crocusramp/pkg/platform/internal/attempt"
)

const (
	// defaultTimeout bounds a call where Config sets no bound.
	defaultTimeout = 2 * time.Second
	// readAttempts is how often a read is sent, the first time included.
	readAttempts = 2
	// maxReadBackoff bounds the pause between two attempts of a read.
	maxReadBackoff = 100 * time.Millisecond
)

// The expressions of the calls.
const (
	conditionAbsent   = "attribute_not_exists(pk)"
	conditionRevision = "rev = :rev"
	keyPartition      = "pk = :pk"
	keyAfter          = "pk = :pk AND sk > :after"
)

// The codes of a cancelled transaction's reasons.
const (
	codeConditionFailed = "ConditionalCheckFailed"
	codeConflict        = "TransactionConflict"
)

// Config says where the table is.
type Config struct {
	// Endpoint is the service's base URL. Nothing else is connected to.
	Endpoint string
	// Region is part of the requests' signatures.
	Region string
	// Table is the table's name.
	Table string
	// AccessKey and SecretKey sign the requests. The environment, shared
	// files and metadata services are never asked for credentials.
	AccessKey string
	SecretKey string
	// Timeout bounds each call, retries included; 0 means 2 s. Writes that
	// pass it are indeterminate.
	Timeout time.Duration
}

// Table is a platform.Table.
type Table struct {
	client  *dynamodb.Client
	name    string
	timeout time.Duration
}

var _ platform.Table = (*Table)(nil)

// New returns the table that config names. It connects to nothing yet.
func New(config Config) *Table {
	if config.Timeout == 0 {
		config.Timeout = defaultTimeout
	}
	client := dynamodb.New(dynamodb.Options{
		BaseEndpoint: aws.String(config.Endpoint),
		Region:       config.Region,
		Credentials:  credentials.NewStaticCredentialsProvider(config.AccessKey, config.SecretKey, ""),
		HTTPClient:   attempt.NewClient(),
		// The SDK would report the conflict of a repeated write as that of the
		// write, so Transact repeats by itself and only reads are retried here.
		Retryer: aws.NopRetryer{},
	})
	return &Table{client: client, name: config.Table, timeout: config.Timeout}
}

// Get implements platform.Table.
func (t *Table) Get(ctx context.Context, key platform.Key) (platform.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	out, err := t.client.GetItem(ctx, &dynamodb.GetItemInput{
		TableName:      &t.name,
		Key:            keyAttributes(key),
		ConsistentRead: aws.Bool(true),
	}, retryReads)
	if err != nil {
		return platform.Item{}, fmt.Errorf("get %s/%s: %w", key.Partition, key.Sort, attempt.ReadError(err))
	}
	if len(out.Item) == 0 {
		return platform.Item{}, fmt.Errorf("get %s/%s: %w", key.Partition, key.Sort, platform.ErrNotFound)
	}
	return decodeItem(out.Item)
}

// List implements platform.Table.
func (t *Table) List(ctx context.Context, partition, after string, limit int) ([]platform.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	var items []platform.Item
	in := t.listInput(partition, after)
	for len(items) < limit {
		in.Limit = aws.Int32(int32(min(limit-len(items), maxPageItems)))
		out, err := t.client.Query(ctx, in, retryReads)
		if err != nil {
			return nil, fmt.Errorf("list %s: %w", partition, attempt.ReadError(err))
		}
		for _, attributes := range out.Items {
			item, err := decodeItem(attributes)
			if err != nil {
				return nil, err
			}
			items = append(items, item)
		}
		if len(out.LastEvaluatedKey) == 0 {
			break
		}
		in.ExclusiveStartKey = out.LastEvaluatedKey
	}
	return items, nil
}

// maxPageItems bounds one page of a query; the service bounds its bytes.
const maxPageItems = 1000

func (t *Table) listInput(partition, after string) *dynamodb.QueryInput {
	in := &dynamodb.QueryInput{
		TableName:                 &t.name,
		ConsistentRead:            aws.Bool(true),
		KeyConditionExpression:    aws.String(keyPartition),
		ExpressionAttributeValues: map[string]types.AttributeValue{":pk": text(partition)},
	}
	if after != "" { // the service refuses empty key values
		in.KeyConditionExpression = aws.String(keyAfter)
		in.ExpressionAttributeValues[":after"] = text(after)
	}
	return in
}

// Transact implements platform.Table. Where the connection breaks before the
// answer, the transaction is sent once more under the same token, which the
// service never applies twice.
func (t *Table) Transact(ctx context.Context, writes []platform.Write) error {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	in := &dynamodb.TransactWriteItemsInput{ClientRequestToken: aws.String(uuid.NewString())}
	for _, w := range writes {
		in.TransactItems = append(in.TransactItems, t.transactItem(w))
	}
	err := t.send(ctx, in)
	if errors.Is(err, platform.ErrIndeterminate) && !attempt.Answered(err) && ctx.Err() == nil {
		err = t.resend(ctx, in)
	}
	if err != nil {
		return fmt.Errorf("transact %d writes: %w", len(writes), err)
	}
	return nil
}

func (t *Table) send(ctx context.Context, in *dynamodb.TransactWriteItemsInput) error {
	ctx, a := attempt.Start(ctx)
	if _, err := t.client.TransactWriteItems(ctx, in); err != nil {
		return transactError(a, err)
	}
	return nil
}

// resend settles a transaction whose answer was lost. Only success does: a
// conflict may be with the first sending, which may still be on its way too.
func (t *Table) resend(ctx context.Context, in *dynamodb.TransactWriteItemsInput) error {
	if err := t.send(ctx, in); err != nil {
		// %v hides the conflict from errors.As.
		return fmt.Errorf("%w: sent again: %v", platform.ErrIndeterminate, err)
	}
	return nil
}

func (t *Table) transactItem(w platform.Write) types.TransactWriteItem {
	condition, values := conditionAbsent, map[string]types.AttributeValue(nil)
	if w.IfRevision != 0 {
		condition = conditionRevision
		values = map[string]types.AttributeValue{":rev": number(w.IfRevision)}
	}
	if w.Delete {
		return types.TransactWriteItem{Delete: &types.Delete{
			TableName:                 &t.name,
			Key:                       keyAttributes(w.Key),
			ConditionExpression:       &condition,
			ExpressionAttributeValues: values,
		}}
	}
	item := keyAttributes(w.Key)
	item["rev"] = number(w.IfRevision + 1)
	item["val"] = &types.AttributeValueMemberB{Value: w.Value}
	return types.TransactWriteItem{Put: &types.Put{
		TableName:                 &t.name,
		Item:                      item,
		ConditionExpression:       &condition,
		ExpressionAttributeValues: values,
	}}
}

// transactError maps the failure of a transaction to the platform's errors.
func transactError(a *attempt.Attempt, err error) error {
	var cancelled *types.TransactionCanceledException
	if !errors.As(err, &cancelled) {
		return a.WriteError(err)
	}
	conflict := &platform.ConflictError{}
	other := false
	for i, r := range cancelled.CancellationReasons {
		switch aws.ToString(r.Code) {
		case codeConditionFailed:
			conflict.Failed = append(conflict.Failed, i)
		case codeConflict:
			other = true
		}
	}
	if len(conflict.Failed) > 0 || other {
		return conflict
	}
	// Throttled or invalid: a cancelled transaction did nothing.
	return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
}

// retryReads lets the SDK repeat a read a bounded number of times.
func retryReads(o *dynamodb.Options) {
	o.Retryer = retry.NewStandard(func(r *retry.StandardOptions) {
		r.MaxAttempts = readAttempts
		r.MaxBackoff = maxReadBackoff
	})
}

func text(s string) types.AttributeValue { return &types.AttributeValueMemberS{Value: s} }

func number(n int64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatInt(n, 10)}
}

func keyAttributes(key platform.Key) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{"pk": text(key.Partition), "sk": text(key.Sort)}
}

func decodeItem(attributes map[string]types.AttributeValue) (platform.Item, error) {
	partition, ok1 := attributes["pk"].(*types.AttributeValueMemberS)
	sort, ok2 := attributes["sk"].(*types.AttributeValueMemberS)
	revision, ok3 := attributes["rev"].(*types.AttributeValueMemberN)
	if !ok1 || !ok2 || !ok3 {
		return platform.Item{}, fmt.Errorf("%w: item lacks pk, sk or rev", platform.ErrUnavailable)
	}
	n, err := strconv.ParseInt(revision.Value, 10, 64)
	if err != nil {
		return platform.Item{}, fmt.Errorf("%w: rev of %s/%s: %w", platform.ErrUnavailable, partition.Value, sort.Value, err)
	}
	item := platform.Item{Key: platform.Key{Partition: partition.Value, Sort: sort.Value}, Revision: n}
	if value, ok := attributes["val"].(*types.AttributeValueMemberB); ok {
		item.Value = value.Value
	}
	return item, nil
}
