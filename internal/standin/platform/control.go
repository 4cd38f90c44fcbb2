package platform

import (
	"net/http"
	"slices"

	"github.com/go-chi/chi/v5"

	ports "github.com/cactusproxy/cactusproxy/ports"
)

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) { respond(w, s.Faults(), nil) }

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !decode(w, r, &f) {
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) putHost(w http.ResponseWriter, r *http.Request) {
	var h ports.Host
	if !decode(w, r, &h) {
		return
	}
	h.ID = ports.HostID(chi.URLParam(r, "id"))
	s.store.ChangeHosts(func(list []ports.Host) []ports.Host {
		return append(removeHost(list, h.ID), h)
	})
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) deleteHost(w http.ResponseWriter, r *http.Request) {
	id := ports.HostID(chi.URLParam(r, "id"))
	s.store.ChangeHosts(func(list []ports.Host) []ports.Host { return removeHost(list, id) })
	w.WriteHeader(http.StatusNoContent)
}

func removeHost(list []ports.Host, id ports.HostID) []ports.Host {
	return slices.DeleteFunc(list, func(h ports.Host) bool { return h.ID == id })
}
