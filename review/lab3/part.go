package lab

import (
	"encoding/json"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
)

// The store's stand-in keeps operators' and workers' rows in the empty part only. Rows of other parts are kept under
// keys that begin with partMark and the part, and leave the store under their own keys and with their part.
const partMark = "\x01"

// PutInPart writes a row of a part on behalf of an operator or another writer.
func (d *Deployment) PutInPart(table, part, key string, value []byte) {
	d.Store.Put(table, partMark+part+partMark+key, value)
}

// withParts returns a handler of the store that serves rows of all parts.
func withParts(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			next.ServeHTTP(rw, r)
			return
		}
		recorder := httptest.NewRecorder()
		next.ServeHTTP(recorder, r)
		body := restoreParts(recorder.Body.Bytes(), strings.HasSuffix(r.URL.Path, "/rows-feed"))
		maps.Copy(rw.Header(), recorder.Header())
		rw.Header().Del("Content-Length")
		rw.WriteHeader(recorder.Code)
		_, _ = rw.Write(body) // the VM may have closed the connection
	})
}

// restoreParts gives rows their parts and keys. A feed returns the rows of all parts, other calls those of one, which
// is the empty one here.
func restoreParts(body []byte, all bool) []byte {
	page, ok := decodePage(body)
	if !ok {
		return body
	}
	rows, _ := page["rows"].([]any)
	kept := []any{}
	for _, row := range rows {
		fields, _ := row.(map[string]any)
		key, _ := fields["key"].(string)
		if rest, marked := strings.CutPrefix(key, partMark); marked {
			fields["part"], fields["key"], _ = strings.Cut(rest, partMark)
			if !all {
				continue
			}
		}
		kept = append(kept, row)
	}
	page["rows"] = kept
	if out, err := json.Marshal(page); err == nil {
		return out
	}
	return body
}
