package caller

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"

	"banyanyard/core/rules"
)

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (h *Handler) serveModels(w http.ResponseWriter, r *http.Request) {
	request, refused := h.authenticate(w, r)
	if refused != nil {
		WriteRefusal(w, refused)
		return
	}
	list := modelList{Object: "list", Data: []model{}}
	for _, id := range usableNames(request.Rules, request.Organisation.ID) {
		list.Data = append(list.Data, model{ID: id, Object: "model", OwnedBy: "banyanyard"})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

// usableNames returns the names of the models, versions and classes that an
// organisation may use, sorted.
func usableNames(set *rules.Set, organisation string) []string {
	names := map[string]bool{}
	for t, v := range set.Versions {
		if v.State == rules.Serving && set.VersionAllowed(organisation, t) {
			names[t.Model] = true
			names[t.String()] = true
		}
	}
	for id := range set.Classes {
		if set.ClassAllowed(organisation, id) {
			names[id] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}
