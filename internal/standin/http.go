package standin

import (
	"encoding/json"
	"io"
	"net/http"
)

// maxBytes is the largest request body that a simulated system reads, in bytes.
const maxBytes = 16 << 20

func readBody(r *http.Request) ([]byte, error) { return io.ReadAll(io.LimitReader(r.Body, maxBytes)) }

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if text, ok := v.(json.RawMessage); ok {
		_, _ = w.Write(text) // As below. The encoder rejects texts that are nested deeply.
		return
	}
	_ = json.NewEncoder(w).Encode(v) // An error means that the caller has disconnected.
}
