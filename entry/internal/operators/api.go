// Package operators serves the HTTP API that pollenctl uses.
//
// # Usage
//
//	operators.NewAPI(members, agents, owner).Routes(mux)
package operators

import (
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"

	"github.com/pollenfront/pollenfront/entry/internal/agents"
	"github.com/pollenfront/pollenfront/entry/internal/members"
	"github.com/pollenfront/pollenfront/entry/internal/owner"
	"github.com/pollenfront/pollenfront/observe"
	"github.com/pollenfront/pollenfront/operatorapi"
	"github.com/pollenfront/pollenfront/refusal"
)

// maxBodySize bounds the body of a request, in bytes.
const maxBodySize = 64 << 10

// An API serves operators.
type API struct {
	agents  *agents.Agents
	members *members.Members
	owner   *owner.Owner
}

// NewAPI returns an API of this entry.
func NewAPI(m *members.Members, a *agents.Agents, o *owner.Owner) *API {
	return &API{agents: a, members: m, owner: o}
}

// Routes adds the routes to a router.
func (a *API) Routes(r *mux.Router) {
	r.HandleFunc(operatorapi.PathChanges, a.change).Methods(http.MethodPost)
	r.HandleFunc(operatorapi.PathForce, a.force).Methods(http.MethodGet)
	r.HandleFunc(operatorapi.PathState, a.state).Methods(http.MethodGet)
	r.HandleFunc(operatorapi.PathView, a.view).Methods(http.MethodGet)
}

// change makes a change and waits until it is accepted.
func (a *API) change(w http.ResponseWriter, r *http.Request) {
	var request operatorapi.ChangeRequest
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodySize))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		refuse(w, refusal.New(refusal.BadRequest, "the body is not a change: %v", err))
		return
	}
	result, err := a.members.Change(r.Context(), request.Change, request.DryRun)
	if err != nil {
		refuse(w, err)
		return
	}
	observe.WriteJSON(w, http.StatusOK, result)
}

// force tells which processes have the present version.
func (a *API) force(w http.ResponseWriter, _ *http.Request) {
	v := a.members.View()
	force := operatorapi.Force{Accepted: a.members.Accepted(), Version: v.Version}
	versions := a.members.Versions()
	for _, e := range v.Entries {
		force.Holders = append(force.Holders, operatorapi.Holder{Name: e.Name, Program: "entry", Version: versions[e.Name], Zone: e.Zone})
	}
	for _, agent := range a.agents.List() {
		force.Holders = append(force.Holders, operatorapi.Holder{Name: agent.Name, Program: "agent", Version: agent.Version, Zone: agent.Zone})
	}
	observe.WriteJSON(w, http.StatusOK, force)
}

// state returns the state of this entry's dispatcher.
func (a *API) state(w http.ResponseWriter, _ *http.Request) {
	observe.WriteJSON(w, http.StatusOK, a.owner.Dump(""))
}

// view returns the view.
func (a *API) view(w http.ResponseWriter, _ *http.Request) {
	observe.WriteJSON(w, http.StatusOK, a.members.View())
}

// refuse answers with a refusal.
func refuse(w http.ResponseWriter, err error) {
	refused := refusal.From(err)
	observe.WriteJSON(w, refused.Status(), refused)
}
