package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusproxy/cactusproxy/ports"
)

// registerTimeout bounds one update of the platform's host list.
const registerTimeout = 5 * time.Second

// registrar maintains the target's entry in the host list of the simulated platform.
// Without a platform URL it does nothing.
type registrar struct {
	url   string
	token string
	host  ports.Host
}

func newRegistrar(a targetArgs, addr string) *registrar {
	if a.Register == "" {
		return &registrar{}
	}
	return &registrar{
		url:   strings.TrimSuffix(a.Register, "/") + "/standin/hosts/" + url.PathEscape(a.ID),
		token: a.Token,
		host: ports.Host{
			ID:        ports.HostID(a.ID),
			Role:      ports.RoleTarget,
			Zone:      a.Zone,
			Addr:      addr,
			Workspace: a.Workspace,
			Service:   a.Service,
		},
	}
}

// put writes the entry with the given state.
func (r *registrar) put(ctx context.Context, state ports.HostState) error {
	h := r.host
	h.State = state
	body, err := json.Marshal(h)
	if err != nil {
		return errors.Wrap(err, "encode host")
	}
	return r.send(ctx, http.MethodPut, body)
}

// remove deletes the entry.
func (r *registrar) remove(ctx context.Context) error {
	return r.send(ctx, http.MethodDelete, nil)
}

func (r *registrar) send(ctx context.Context, method string, body []byte) error {
	if r.url == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, r.url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "register")
	}
	if r.token != "" {
		req.Header.Set("Authorization", "Bearer "+r.token)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "register")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return errors.Newf("register: platform answered %s", resp.Status)
	}
	return nil
}
