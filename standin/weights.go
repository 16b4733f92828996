package standin

import (
	"context"
	"net/http"
	"strconv"
	"time"

	cs "github.com/crocusstile/crocusstile"
	"golang.org/x/time/rate"
)

// WeightStoreConfig configures a WeightStore.
type WeightStoreConfig struct {
	// Size is the size of each model's weights; 0 selects 1 MiB.
	Size cs.Bytes
	// Burst is the capacity of the token bucket, at least Size; 0 selects Size.
	Burst cs.Bytes
	// Faults are the initial fault settings; a Rate of 0 selects 4 MiB per second.
	Faults WeightStoreFaults
}

// WeightStoreFaults are the fault settings of a WeightStore; POST /standin/faults changes them at run time.
type WeightStoreFaults struct {
	// Rate is the number of bytes per second over all readers; reads beyond it fail with status 429.
	Rate cs.PerSecond `json:"rate"`
	// Outage makes reads fail with status 503.
	Outage bool `json:"outage"`
	// Delay is added before the response to each read.
	Delay cs.Span `json:"delay"`
}

// WeightStore simulates the platform's rate-limited weight store. Each read takes the whole size of the
// weights from a token bucket.
type WeightStore struct {
	config  WeightStoreConfig
	mux     *http.ServeMux
	faults  faults[WeightStoreFaults]
	limiter *rate.Limiter
}

// NewWeightStore returns a weight store that serves every model and version.
func NewWeightStore(c WeightStoreConfig) *WeightStore {
	setDefault(&c.Size, 1<<20)
	setDefault(&c.Burst, c.Size)
	setDefault(&c.Faults.Rate, 4<<20)
	c.Burst = max(c.Burst, c.Size) // a smaller bucket could never admit a read
	s := &WeightStore{
		config: c, mux: http.NewServeMux(), faults: faults[WeightStoreFaults]{set: c.Faults},
		limiter: rate.NewLimiter(rate.Limit(c.Faults.Rate), int(c.Burst)),
	}
	s.mux.HandleFunc("GET /v1/weights/{model}/{version}", s.handleRead)
	s.mux.Handle("POST /standin/faults", &s.faults)
	return s
}

// ServeHTTP serves the weights over HTTP.
func (s *WeightStore) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults changes the fault settings.
func (s *WeightStore) SetFaults(set func(*WeightStoreFaults)) { s.faults.update(set) }

// Faults returns the current fault settings.
func (s *WeightStore) Faults() WeightStoreFaults { return s.faults.get() }

// Run blocks until ctx ends; the store has no state that needs an owner.
func (s *WeightStore) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

func (s *WeightStore) handleRead(w http.ResponseWriter, r *http.Request) {
	settings := s.faults.get()
	if !pause(r.Context().Done(), settings.Delay) {
		abort()
	}
	if settings.Outage {
		writeError(w, http.StatusServiceUnavailable, "the weight store is unavailable")
		return
	}
	if limit := rate.Limit(settings.Rate); s.limiter.Limit() != limit {
		s.limiter.SetLimit(limit)
	}
	reservation := s.limiter.ReserveN(time.Now(), int(s.config.Size))
	if wait := reservation.Delay(); wait > 0 {
		reservation.Cancel()
		w.Header().Set("Retry-After", strconv.Itoa(1+int(wait.Seconds())))
		writeError(w, http.StatusTooManyRequests, "more than %v bytes a second", settings.Rate)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(int64(s.config.Size), 10))
	block := make([]byte, 64<<10)
	for remaining := s.config.Size; remaining > 0; remaining -= cs.Bytes(len(block)) {
		if _, err := w.Write(block[:min(remaining, cs.Bytes(len(block)))]); err != nil {
			return
		}
	}
}
