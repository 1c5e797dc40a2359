package cloud

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"bramblespur/internal/wire"
)

// Provision returns ErrNoCapacity only for a refusal for lack of capacity, not for other failures: the
// caller then tries another type or zone.
func TestLackOfCapacity(t *testing.T) {
	for name, x := range map[string]struct {
		status int
		body   string
		want   bool
	}{
		"no capacity":    {http.StatusServiceUnavailable, `{"error":"no capacity"}`, true},
		"busy":           {http.StatusServiceUnavailable, `{"error":"busy"}`, false},
		"not JSON":       {http.StatusServiceUnavailable, "no capacity", false},
		"another status": {http.StatusBadRequest, `{"error":"no capacity"}`, false},
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(x.status)
			_, _ = w.Write([]byte(x.body)) // a failed write shows as the client's error
		}))
		_, err := New(strings.TrimPrefix(s.URL, "http://"), 100).Provision(t.Context(), wire.ProvisionRequest{Request: "r", Count: 1})
		if err == nil || errors.Is(err, ErrNoCapacity) != x.want {
			t.Errorf("%s: err %v", name, err)
		}
		s.Close()
	}
}
