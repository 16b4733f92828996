package standin

import (
	"encoding/binary"
	"net/http"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// maxBlocks is the number of KV cache blocks kept for export; beyond it, the oldest is deleted.
const maxBlocks = 256

// blockTable holds exportable KV cache blocks by request id, with the ids in order of insertion.
type blockTable struct {
	rows  *fleet.Table[cs.RequestID, []byte]
	order []cs.RequestID
}

func newBlockTable() *blockTable {
	return &blockTable{rows: fleet.NewTable[cs.RequestID, []byte]()}
}

func (t *blockTable) put(id cs.RequestID, block []byte) {
	if t.rows.Get(id) == nil {
		t.order = append(t.order, id)
	}
	t.rows.Insert(id, block)
	if len(t.order) > maxBlocks {
		t.rows.Delete(t.order[0])
		t.order = t.order[1:]
	}
}

// export returns the KV cache block of a request that was executed here or whose block was imported, or
// nil if there is none.
func (g *engine) export(id cs.RequestID) []byte {
	if block := g.blocks.rows.Get(id); block != nil {
		return *block
	}
	return nil
}

// importBlock stores a KV cache block and adds the prefix whose key it contains to the prefix cache.
func (g *engine) importBlock(now cs.Instant, id cs.RequestID, block []byte) {
	g.blocks.put(id, block)
	if len(block) >= 8 {
		g.cache.touch(prefixKey(binary.BigEndian.Uint64(block)), now)
	}
}

func (r *Runner) handleExport(w http.ResponseWriter, req *http.Request) {
	block, ok := sendForReply(req.Context(), &r.inbox, func(reply chan<- []byte) runnerEvent {
		return exportRequested{id: cs.RequestID(req.PathValue("id")), reply: reply}
	})
	if !ok {
		abort()
	}
	if block == nil {
		writeError(w, http.StatusNotFound, "no KV cache for %q", req.PathValue("id"))
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(block)
}

func (r *Runner) handleImport(w http.ResponseWriter, req *http.Request) {
	block, ok := readBody(w, req, maxBodyBytes)
	if !ok {
		return
	}
	if !sendAndWait(req.Context(), &r.inbox, func(applied chan<- struct{}) runnerEvent {
		return blockImported{id: cs.RequestID(req.PathValue("id")), block: block, applied: applied}
	}) {
		abort()
	}
	w.WriteHeader(http.StatusNoContent)
}
