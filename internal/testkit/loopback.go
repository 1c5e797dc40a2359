package testkit

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"time"

	"bramblespur/internal/cloud"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// HTTP returns a server of the state service's published protocol, as the endpoint label reaches it.
func (s *StateService) HTTP(label string) http.Handler {
	link := s.StoreClient(context.Background(), label)
	purpose := statestore.Urgent("loopback")
	mux := http.NewServeMux()
	mux.HandleFunc("GET /store/{key...}", func(w http.ResponseWriter, r *http.Request) {
		e, err := link.Get(r.Context(), purpose, r.PathValue("key"))
		writeAnswer(w, e, err)
	})
	mux.HandleFunc("GET /store", func(w http.ResponseWriter, r *http.Request) {
		limit, err := strconv.Atoi(r.FormValue("page"))
		if err != nil {
			limit = statestore.MaxPage
		}
		page, err := link.ListPage(r.Context(), purpose, r.FormValue("prefix"), r.FormValue("since"), limit)
		writeAnswer(w, page, err)
	})
	mux.HandleFunc("POST /txn", func(w http.ResponseWriter, r *http.Request) {
		var t wire.Txn
		if !decodeBody(w, r, &t) {
			return
		}
		rev, err := link.Txn(r.Context(), purpose, t)
		writeAnswer(w, wire.TxnResult{Revision: rev}, err)
	})
	mux.HandleFunc("POST /holds", func(w http.ResponseWriter, r *http.Request) {
		var q wire.LeaseRequest
		if !decodeBody(w, r, &q) {
			return
		}
		id, err := link.Grant(r.Context(), time.Duration(q.TTLMillis)*time.Millisecond)
		writeAnswer(w, wire.LeaseGrant{Lease: id}, err)
	})
	mux.HandleFunc("POST /holds/{id}/renew", func(w http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
		writeAnswer(w, wire.LeaseGrant{Lease: id}, link.Renew(r.Context(), id))
	})
	mux.HandleFunc("GET /follow", func(w http.ResponseWriter, r *http.Request) {
		since, _ := strconv.ParseUint(r.FormValue("since"), 10, 64)
		wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
		ch, err := link.Watch(r.Context(), r.FormValue("prefix"), since, time.Duration(wait)*time.Millisecond)
		writeAnswer(w, ch, err)
	})
	return mux
}

// decodeBody decodes a JSON body into v. If it is malformed, it answers 400 and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	return true
}

// writeAnswer writes the result of a call with the protocol's status for its error.
func writeAnswer(w http.ResponseWriter, v any, err error) {
	var conflict *statestore.ConflictError
	status := http.StatusOK
	switch {
	case errors.As(err, &conflict):
		status, v = http.StatusConflict, wire.TxnResult{Failed: conflict.Keys}
	case errors.Is(err, statestore.ErrNotFound), errors.Is(err, statestore.ErrNoLease):
		status = http.StatusNotFound
	case errors.Is(err, cloud.ErrNoCapacity):
		status, v = http.StatusServiceUnavailable, map[string]string{"error": "no capacity"}
	case errors.Is(err, statestore.ErrRefused):
		status = http.StatusServiceUnavailable
	case err != nil:
		status = http.StatusBadRequest
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

// CloudHTTP returns a server of the cloud's published protocol.
func (w *World) CloudHTTP() http.Handler {
	api := w.CloudClient(context.Background(), "loopback")
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machine_types", func(rw http.ResponseWriter, r *http.Request) {
		types, err := api.Types(r.Context())
		writeAnswer(rw, wire.MachineTypes{Types: types}, err)
	})
	mux.HandleFunc("POST /rentals", func(rw http.ResponseWriter, r *http.Request) {
		var q wire.ProvisionRequest
		if decodeBody(rw, r, &q) {
			ids, err := api.Provision(r.Context(), q)
			writeAnswer(rw, wire.MachineNames{Machines: ids}, err)
		}
	})
	mux.HandleFunc("POST /rentals/return", func(rw http.ResponseWriter, r *http.Request) {
		var q wire.MachineNames
		if decodeBody(rw, r, &q) {
			writeAnswer(rw, struct{}{}, api.Release(r.Context(), q.Machines))
		}
	})
	mux.HandleFunc("GET /rentals", func(rw http.ResponseWriter, r *http.Request) {
		var page wire.MachineList
		list, err := api.List(r.Context())
		for _, m := range list {
			if m.ID > r.FormValue("since") {
				page.Machines = append(page.Machines, m)
			}
		}
		writeAnswer(rw, page, err)
	})
	return mux
}

// ServeWorkers gives every machine provisioned from now on an HTTP server for direct commands, with an
// address of its own. The returned function stops the servers.
func (w *World) ServeWorkers() (stop func()) {
	var servers []*httptest.Server
	w.mu.Lock()
	defer w.mu.Unlock()
	w.assignAddr = func(a *Agent) string {
		s := httptest.NewServer(a.http())
		servers = append(servers, s)
		return strings.TrimPrefix(s.URL, "http://")
	}
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, s := range servers {
			s.CloseClientConnections()
			s.Close()
		}
	}
}

// http returns a server for direct commands and heartbeats on request.
func (a *Agent) http() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.CommandPath, func(w http.ResponseWriter, r *http.Request) {
		var o wire.DirectCommands
		if !decodeBody(w, r, &o) {
			return
		}
		rep, ok, err := a.executeDirect(o)
		switch {
		case err != nil:
			w.WriteHeader(http.StatusInternalServerError)
		case !ok:
			w.WriteHeader(http.StatusConflict)
			json.NewEncoder(w).Encode(rep)
		default:
			writeAnswer(w, rep, nil)
		}
	})
	mux.HandleFunc("GET "+wire.ShowPath, func(w http.ResponseWriter, r *http.Request) {
		rep, err := a.heartbeat()
		writeAnswer(w, rep, err)
	})
	return mux
}

// RemoteNode is a controller process that listens on an address.
type RemoteNode struct{ Addr string }

// Handle implements Node.
func (n RemoteNode) Handle(method, path string, body []byte) (int, []byte, error) {
	req, err := http.NewRequest(method, "http://"+n.Addr+path, strings.NewReader(string(body)))
	if err != nil {
		return 0, nil, err
	}
	resp, err := remoteClient.Do(req)
	if err != nil {
		return 0, nil, ErrLost
	}
	defer resp.Body.Close()
	var raw json.RawMessage
	if err := json.NewDecoder(resp.Body).Decode(&raw); err != nil {
		raw = nil
	}
	return resp.StatusCode, raw, nil
}

// remoteClient does not follow redirects, like the clients of users and workers.
var remoteClient = &http.Client{
	Timeout:       submitTimeout,
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}
