// Package admin holds helpers for the admin endpoints of the stand-ins.
package admin

import (
	"encoding/json"
	"fmt"
	"net/http"
)

// DocumentHandler returns a handler that serves a value as JSON: GET returns it, POST
// replaces it, DELETE sets it to its zero value. Unknown fields are refused.
func DocumentHandler[T any](get func() T, set func(T)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var v T
		switch r.Method {
		case http.MethodGet:
		case http.MethodDelete:
			set(v)
		case http.MethodPost:
			if err := Decode(r, &v); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			set(v)
		default:
			http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
			return
		}
		WriteJSON(w, get())
	})
}

// Decode reads a JSON body into v and refuses unknown fields.
func Decode(r *http.Request, v any) error {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return fmt.Errorf("request body: %w", err)
	}
	return nil
}

// WriteJSON writes v as a JSON response with status 200.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the client may have disconnected
}

// CloseConnection closes the client's connection without completing the response.
func CloseConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler) // closes the connection as well
	}
	conn.Close()
}
