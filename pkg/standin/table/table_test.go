package table

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

func post(t *testing.T, s *Server, call, body string) (int, string) {
	t.Helper()
	r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body))
	r.Header.Set("X-Amz-Target", "DynamoDB_20120810."+call)
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, r)
	return w.Code, w.Body.String()
}

const putOne = `{"ClientRequestToken":"TOKEN","TransactItems":[{"Put":{"TableName":"t",` +
	`"Item":{"pk":{"S":"p"},"sk":{"S":"s"},"rev":{"N":"1"},"val":{"B":"VALUE"}},` +
	`"ConditionExpression":"attribute_not_exists(pk)"}}]}`

func transaction1(token, value string) string {
	return strings.NewReplacer("TOKEN", token, "VALUE", value).Replace(putOne)
}

// TestTokenAppliesOnce proves that a repeated transaction reports success
// without another effect, and that a token serves one transaction alone.
func TestTokenAppliesOnce(t *testing.T) {
	s := New()
	for range 2 {
		if status, body := post(t, s, "TransactWriteItems", transaction1("a", "AAAA")); status != http.StatusOK {
			t.Fatalf("status %d: %s", status, body)
		}
	}
	if got := s.Counts(false).Writes; got != 1 {
		t.Errorf("%d writes took effect", got)
	}
	if _, body := post(t, s, "TransactWriteItems", transaction1("a", "BBBB")); !strings.Contains(body, "IdempotentParameterMismatch") {
		t.Errorf("the token served another transaction: %s", body)
	}
	if _, body := post(t, s, "TransactWriteItems", transaction1("b", "AAAA")); !strings.Contains(body, "ConditionalCheckFailed") {
		t.Errorf("another token: %s", body)
	}
}

func TestRefusesWhatTheServiceRefuses(t *testing.T) {
	cases := map[string][2]string{
		"unknown call":           {"Scan", `{}`},
		"no JSON":                {"GetItem", `{`},
		"empty key":              {"GetItem", `{"Key":{"pk":{"S":""},"sk":{"S":"s"}}}`},
		"no sort key":            {"GetItem", `{"Key":{"pk":{"S":"p"}}}`},
		"empty after":            {"Query", `{"KeyConditionExpression":"pk = :pk AND sk > :after","ExpressionAttributeValues":{":pk":{"S":"p"},":after":{"S":""}}}`},
		"unknown condition":      {"Query", `{"KeyConditionExpression":"pk > :pk","ExpressionAttributeValues":{":pk":{"S":"p"}}}`},
		"no writes":              {"TransactWriteItems", `{"TransactItems":[]}`},
		"too many writes":        {"TransactWriteItems", `{"TransactItems":[` + strings.Repeat(`{},`, maxItems) + `{}]}`},
		"neither put nor delete": {"TransactWriteItems", `{"TransactItems":[{}]}`},
		"unconditional write":    {"TransactWriteItems", strings.Replace(putOne, "attribute_not_exists(pk)", "", 1)},
	}
	for name, c := range cases {
		s := New()
		if status, body := post(t, s, c[0], c[1]); status != http.StatusBadRequest {
			t.Errorf("%s: status %d: %s", name, status, body)
		}
	}
}

func FuzzTransact(f *testing.F) {
	f.Add(putOne)
	f.Add(`{"TransactItems":[{"Delete":{"Key":{"pk":{"S":"p"},"sk":{"S":"s"}},"ConditionExpression":"rev = :rev","ExpressionAttributeValues":{":rev":{"N":"-1"}}}}]}`)
	f.Fuzz(func(t *testing.T, body string) {
		if status, _ := post(t, New(), "TransactWriteItems", body); status != http.StatusOK && status != http.StatusBadRequest {
			t.Errorf("status %d", status)
		}
	})
}
