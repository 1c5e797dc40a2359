package cloud

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"bramblespur/internal/wire"
)

// Only a refusal for want of capacity is told from other failures: another type or zone is tried
// then.
func TestLackOfCapacity(t *testing.T) {
	for name, x := range map[string]struct {
		status int
		body   string
		want   bool
	}{
		"no capacity":       {http.StatusServiceUnavailable, `{"error":"no capacity"}`, true},
		"busy":              {http.StatusServiceUnavailable, `{"error":"busy"}`, false},
		"not JSON":          {http.StatusServiceUnavailable, "no capacity", false},
		"of other statuses": {http.StatusBadRequest, `{"error":"no capacity"}`, false},
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(x.status)
			_, _ = w.Write([]byte(x.body)) // the client's error shows what is wrong
		}))
		_, err := New(strings.TrimPrefix(s.URL, "http://"), 100).Provision(t.Context(), wire.ProvisionRequest{Request: "r", Count: 1})
		if err == nil || errors.Is(err, ErrNoCapacity) != x.want {
			t.Errorf("%s: %v", name, err)
		}
		s.Close()
	}
}
