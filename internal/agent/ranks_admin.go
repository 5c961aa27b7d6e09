package agent

import (
	"fmt"
	"net/http"

	"bluebellwind.example/mapswitch"
)

// serveAdmin adds a handler that prints the status of each hosted rank, one line
// per rank.
func (r *rankManager) serveAdmin(mux *http.ServeMux) {
	if r == nil {
		return
	}
	mux.HandleFunc("GET /-/ranks", func(w http.ResponseWriter, req *http.Request) {
		for _, hosted := range r.settings.Hosted {
			status, err := r.clients[mapswitch.Rank(hosted.Rank)].Status(req.Context())
			if err != nil {
				fmt.Fprintf(w, "rank=%d state=unknown cause=%q\n", hosted.Rank, err)
				continue
			}
			fmt.Fprintf(w, "rank=%d %s\n", hosted.Rank, status)
		}
	})
}
