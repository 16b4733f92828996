package registry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

const (
	// maxListBytes limits the size of the platform's list; a registration takes about 200 bytes.
	maxListBytes = 16 << 20
	// listTimeout is the timeout of one request for the list.
	listTimeout = 3 * cs.Second
	// listOverdue is the time without a response after which the list is requested again on a new connection: the one in use
	// may have stopped responding. A runner that leaves gets no new work 3 s after the list says so.
	listOverdue = 500 * cs.Millisecond
)

// ListConfig is the configuration of a List.
type ListConfig struct {
	// Address is the list's address.
	Address cs.Address
	// Poll is the pause between two reads.
	Poll cs.Span
	// Post delivers an event to the control loop; an error ends Run.
	Post func(context.Context, fleet.Event) error
}

// List polls the platform's list of VMs and runners.
//
// It sends conditional requests (If-None-Match, RFC 9110, section 13.1.2), since the full list takes
// 0.8 MB at 4,000 registrations and rarely changes. A service that ignores the condition returns the full
// list.
type List struct {
	cfg    ListConfig
	client *http.Client
	// last is the most recent list, and etag its entity tag, which is empty if the service sent none.
	last fleet.ListRead
	etag string
}

// NewList returns a client, which sends no requests before Run is called.
func NewList(c ListConfig) *List {
	dialer := &net.Dialer{Timeout: time.Second}
	return &List{cfg: c, client: &http.Client{
		Timeout:   listTimeout.Std(),
		Transport: &http.Transport{DialContext: dialer.DialContext},
	}}
}

// Run polls the list until ctx ends and posts fleet.ListRead or fleet.ListReadFailed after each read.
func (l *List) Run(ctx context.Context) error {
	defer l.client.CloseIdleConnections()
	for ctx.Err() == nil {
		var e fleet.Event
		read, err := l.read(ctx)
		if e = read; err != nil {
			e = fleet.ListReadFailed{Error: err.Error()}
		}
		if err := l.cfg.Post(ctx, e); err != nil {
			return err
		}
		sleep(ctx, l.cfg.Poll)
	}
	return ctx.Err()
}

// registration is the record of one VM or runner in the platform's list.
type registration struct {
	ID          string          `json:"id"`
	Kind        string          `json:"kind"`
	Service     cs.ServiceID    `json:"service"`
	Address     cs.Address      `json:"address"`
	DataCentre  cs.DataCentreID `json:"dataCentre"`
	State       string          `json:"state"`
	Incarnation cs.Incarnation  `json:"incarnation"`
	Fencing     bool            `json:"fencing"`
	Slots       cs.Slots        `json:"slots"`
}

// listResponse is the response to one request for the list.
type listResponse struct {
	read fleet.ListRead
	etag string
	err  error
}

// read reads the list. If the response is overdue, it requests the list once more beside, and the first success counts.
func (l *List) read(ctx context.Context) (fleet.ListRead, error) {
	var running sync.WaitGroup
	defer running.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	const maxRequests = 2
	responses := make(chan listResponse, maxRequests)
	request := func() {
		read, etag, err := l.request(ctx)
		responses <- listResponse{read, etag, err}
	}
	running.Go(request)
	overdue := time.NewTimer(listOverdue.Std())
	defer overdue.Stop()
	for sent, failed := 1, 0; ; {
		select {
		case <-overdue.C:
			l.client.CloseIdleConnections()
			sent++
			running.Go(request)
		case r := <-responses:
			if r.err == nil {
				cancel()
				running.Wait() // the other request reads the last list
				l.last, l.etag = r.read, r.etag
				return r.read, nil
			}
			if failed++; failed == sent {
				return fleet.ListRead{}, r.err
			}
		}
	}
}

// request requests the list once and returns it with its entity tag.
func (l *List) request(ctx context.Context) (fleet.ListRead, string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(l.cfg.Address)+"/v1/vms", http.NoBody)
	if err != nil {
		return fleet.ListRead{}, "", err
	}
	if l.etag != "" {
		req.Header.Set("If-None-Match", l.etag)
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return fleet.ListRead{}, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNotModified && l.etag != "" {
		return l.last, l.etag, nil
	}
	if resp.StatusCode != http.StatusOK {
		return fleet.ListRead{}, "", errors.Newf("list: %s", resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return fleet.ListRead{}, "", err
	}
	registrations, err := decodeList(body)
	if err != nil {
		return fleet.ListRead{}, "", errors.Wrap(err, "list")
	}
	return newListRead(registrations), resp.Header.Get("ETag"), nil
}

// decodeList decodes the list. Another writer may have left registrations there that cannot be decoded; they are left out.
func decodeList(data []byte) ([]registration, error) {
	var body struct {
		VMs []registration `json:"vms"`
	}
	if err := json.Unmarshal(data, &body); err != nil {
		if body.VMs, err = decodeEach(data); err != nil {
			return nil, err
		}
	}
	if body.VMs == nil {
		return nil, errors.New("response has no field \"vms\"") // unlike an empty list
	}
	return slices.DeleteFunc(body.VMs, func(r registration) bool { return !r.valid() }), nil
}

// decodeEach decodes the registrations of the list that can be decoded. It takes four times as long as decoding the whole list
// and reads token by token, since the decoder limits the nesting of a whole value.
func decodeEach(data []byte) ([]registration, error) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber() // which takes numbers of any size
	if err := expect(d, '{'); err != nil {
		return nil, err
	}
	var registrations []registration
	for d.More() {
		field, err := d.Token()
		if err != nil {
			return nil, err
		}
		if field != "vms" {
			err = skipValue(d)
		} else {
			registrations, err = decodeRegistrations(d, data)
		}
		if err != nil {
			return nil, err
		}
	}
	return registrations, expect(d, '}')
}

// decodeRegistrations decodes the registrations of an array that can be decoded. The data is what the decoder reads.
func decodeRegistrations(d *json.Decoder, data []byte) ([]registration, error) {
	if err := expect(d, '['); err != nil {
		return nil, err
	}
	registrations := []registration{}
	for d.More() {
		start := d.InputOffset()
		if err := skipValue(d); err != nil {
			return nil, err
		}
		value := bytes.TrimLeft(data[start:d.InputOffset()], ", \t\r\n") // the separator from the one before
		var r registration
		if json.Unmarshal(value, &r) == nil {
			registrations = append(registrations, r)
		}
	}
	return registrations, expect(d, ']')
}

// expect reads a delimiter.
func expect(d *json.Decoder, delim json.Delim) error {
	token, err := d.Token()
	if err == nil && token != delim {
		err = errors.Newf("%v in place of %v", token, delim)
	}
	return err
}

// skipValue reads one value, of any depth.
func skipValue(d *json.Decoder) error {
	for depth := 0; ; {
		token, err := d.Token()
		if err != nil {
			return err
		}
		switch token {
		case json.Delim('['), json.Delim('{'):
			depth++
		case json.Delim(']'), json.Delim('}'):
			depth--
		}
		if depth == 0 {
			return nil
		}
	}
}

// valid reports whether the numbers and the address of a registration are in range. A registration without an address or
// slots is valid, since links and load reports give them as well.
func (r *registration) valid() bool {
	return r.Slots >= 0 && r.Slots <= cs.MaxSlots && (r.Address == "" || r.Address.Validate() == nil)
}

// newListRead separates the registrations into VMs and runners and ignores those of an unknown kind.
func newListRead(registrations []registration) fleet.ListRead {
	var e fleet.ListRead
	for _, r := range registrations {
		leaving := r.State == "leaving"
		if r.Kind == "entry" {
			e.VMs = append(e.VMs, cs.VM{
				ID: cs.VMID(r.ID), Incarnation: r.Incarnation, DataCentre: r.DataCentre,
				Address: r.Address, Leaving: leaving,
			})
			continue
		}
		kind := cs.KindEngine
		switch r.Kind {
		case "service":
			kind = cs.KindService
		case "runner":
		default:
			continue
		}
		e.Runners = append(e.Runners, cs.Runner{
			ID: cs.RunnerID(r.ID), Kind: kind, Service: r.Service, DataCentre: r.DataCentre,
			Address: r.Address, Incarnation: r.Incarnation, Leaving: leaving,
			ChecksFencingToken: r.Fencing, Slots: r.Slots,
		})
	}
	return e
}
