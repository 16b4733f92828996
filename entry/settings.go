package entry

import (
	"cmp"
	"encoding/json"
	"net"
	"net/netip"
	"os"
	"strconv"

	"github.com/cockroachdb/errors"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/budget"
	"github.com/crocusstile/crocusstile/gateway"
	"github.com/crocusstile/crocusstile/setting"
)

// Settings configures an entry VM. The platform fills in the template deploy/settings.json for each VM.
type Settings struct {
	VM         cs.VMID         `json:"vm"`
	DataCentre cs.DataCentreID `json:"dataCentre"`
	IP         string          `json:"ip"`
	Listen     Listen          `json:"listen"`
	Store      StoreSettings   `json:"store"`
	// Grace is the time between the platform's SIGTERM and its SIGKILL.
	Grace cs.Span `json:"grace"`
	// ResultRetention is how long the results of a job stay readable, counted from its submission.
	ResultRetention cs.Span `json:"resultLife"`
	// MemoryMB is the memory of the VM in megabytes; a process that exceeds it is killed.
	MemoryMB int `json:"memoryMB"`
	// StrictRevoke means that no request may run with a key that was withdrawn longer than Revoke ago.
	StrictRevoke bool    `json:"strictRevoke"`
	Revoke       cs.Span `json:"revoke"`
	// Quota tells how the limits of workspaces are measured; without a window they are not limited.
	Quota gateway.Quota `json:"quota"`
	// MaxDescriptors is the number of descriptors that the process may open; if it is missing, defaultMaxDescriptors.
	MaxDescriptors int `json:"maxDescriptors"`
	// JobLogFollowers is the number of VMs of each data centre that follow the job log; if it is missing,
	// defaultJobLogFollowers.
	JobLogFollowers int `json:"jobLogFollowers"`
	// Clients limits what clients may make the VM hold.
	Clients ClientSettings `json:"clients"`
}

// ClientSettings limits what clients may make a VM hold. A field that is missing or 0 has its default.
type ClientSettings struct {
	// MaxBodies, MaxHeaders and MaxResponses limit the bytes of all request bodies, header fields and held responses; the
	// defaults are parts of MemoryMB.
	MaxBodies    cs.Bytes `json:"maxBodies"`
	MaxHeaders   cs.Bytes `json:"maxHeaders"`
	MaxResponses cs.Bytes `json:"maxResponses"`
	// MaxCallers and MaxChecks limit the connections of callers and of readiness checks; the defaults are parts of
	// MaxDescriptors, and for callers of MemoryMB.
	MaxCallers int `json:"maxCallers"`
	MaxChecks  int `json:"maxChecks"`
	// MaxHeader and MaxFields limit the size and the number of fields of the header of a request, also before the
	// configuration is known. net/http reads up to 4 KB more.
	MaxHeader cs.Bytes `json:"maxHeader"`
	MaxFields int      `json:"maxFields"`
	// Window is the time within which a client must send or read ProgressBytes of a body.
	Window        cs.Span  `json:"window"`
	ProgressBytes cs.Bytes `json:"progressBytes"`
}

// Defaults of ClientSettings. The operator's limit of a header is 16 KB, and a field has at least four bytes.
const (
	defaultMaxHeader cs.Bytes = 32 << 10
	defaultMaxFields          = 4096
)

// withDefaults returns the settings with the defaults of the fields that are missing.
func (c ClientSettings) withDefaults(memoryMB, maxDescriptors int) ClientSettings {
	l := budget.DefaultLimits(cs.Bytes(memoryMB)<<20, maxDescriptors)
	return ClientSettings{
		MaxBodies:     cmp.Or(c.MaxBodies, l.Shares[budget.Bodies]),
		MaxHeaders:    cmp.Or(c.MaxHeaders, l.Shares[budget.Headers]),
		MaxResponses:  cmp.Or(c.MaxResponses, l.Shares[budget.Responses]),
		MaxCallers:    cmp.Or(c.MaxCallers, l.Connections[budget.Callers]),
		MaxChecks:     cmp.Or(c.MaxChecks, l.Connections[budget.Checks]),
		MaxHeader:     cmp.Or(c.MaxHeader, defaultMaxHeader),
		MaxFields:     cmp.Or(c.MaxFields, defaultMaxFields),
		Window:        cmp.Or(c.Window, l.Window),
		ProgressBytes: cmp.Or(c.ProgressBytes, l.ProgressBytes),
	}
}

// clients returns the limits of clients, with their defaults.
func (s Settings) clients() ClientSettings {
	return s.Clients.withDefaults(s.MemoryMB, s.MaxDescriptors)
}

// limits returns the limits of the budget.
func (c ClientSettings) limits() budget.Limits {
	l := budget.Limits{Window: c.Window, ProgressBytes: c.ProgressBytes}
	l.Shares[budget.Bodies], l.Shares[budget.Headers], l.Shares[budget.Responses] = c.MaxBodies, c.MaxHeaders, c.MaxResponses
	l.Connections[budget.Callers], l.Connections[budget.Checks] = c.MaxCallers, c.MaxChecks
	return l
}

// validate adds the errors in the settings, whose defaults are filled in.
func (c ClientSettings) validate(s Settings, addError func(path, message string)) {
	for path, n := range map[string]int64{
		"clients.maxBodies": int64(c.MaxBodies), "clients.maxHeaders": int64(c.MaxHeaders), "clients.maxResponses": int64(c.MaxResponses),
		"clients.maxCallers": int64(c.MaxCallers), "clients.maxChecks": int64(c.MaxChecks), "clients.maxHeader": int64(c.MaxHeader),
		"clients.maxFields": int64(c.MaxFields), "clients.window": int64(c.Window), "clients.progressBytes": int64(c.ProgressBytes),
	} {
		if n <= 0 {
			addError(path, "must be positive")
		}
	}
	if sum := c.MaxBodies + c.MaxHeaders + c.MaxResponses; sum > cs.Bytes(s.MemoryMB)<<20 {
		addError("clients", "maxBodies, maxHeaders and maxResponses must not exceed memoryMB together")
	}
	if c.MaxCallers+c.MaxChecks > s.MaxDescriptors {
		addError("clients", "maxCallers and maxChecks must not exceed maxDescriptors together")
	}
}

// defaultJobLogFollowers is the size of a small data centre: where all VMs follow the job log, partitions are dealt anew only
// once when a VM restarts.
const defaultJobLogFollowers = 6

// defaultMaxDescriptors is the usual limit of a process.
const defaultMaxDescriptors = 1024

// revokeBound returns the time after the withdrawal of a key from which no request with it may run, or 0.
func (s Settings) revokeBound() cs.Span {
	if !s.StrictRevoke {
		return 0
	}
	return s.Revoke
}

// groupTimeout returns the session timeout of the batch group.
func (s Settings) groupTimeout() cs.Span { return max(groupTimeout, s.Store.MinGroupTimeout) }

// Listen holds the addresses and ports on which an entry VM listens.
type Listen struct {
	// Callers is the address for callers, and Ready the address for the platform's readiness checks.
	Callers cs.Address `json:"callers"`
	Ready   cs.Address `json:"ready"`
	// PeerPort is the port for traffic between entry VMs; it is the same on all of them.
	PeerPort int `json:"peerPort"`
	// MetricsPort is the port of the metrics endpoint; 0 disables it.
	MetricsPort int `json:"metricsPort"`
}

// StoreSettings holds the address and the limits of the platform's metadata store.
type StoreSettings struct {
	Address cs.Address `json:"address"`
	// PartitionCount is the number of partitions of a topic.
	PartitionCount int `json:"partitions"`
	// MaxRecord and MaxAppend are the maximum sizes of one record and of one append.
	MaxRecord cs.Bytes `json:"maxRecord"`
	MaxAppend cs.Bytes `json:"maxAppend"`
	// MinGroupTimeout is the shortest session timeout that the store allows for the members of a group.
	MinGroupTimeout cs.Span `json:"minGroup"`
}

// LoadSettings reads and validates the settings of an entry VM from a file. The error chain holds a
// setting.Errors if the content is invalid.
func LoadSettings(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	s, err := ParseSettings(data)
	return s, errors.Wrapf(err, "settings %s", path)
}

// ParseSettings decodes and validates the settings of an entry VM.
func ParseSettings(data []byte) (Settings, error) {
	var s Settings
	if err := json.Unmarshal(data, &s); err != nil {
		return Settings{}, setting.Errors{{Message: "is not valid: " + err.Error()}}
	}
	if s.JobLogFollowers == 0 {
		s.JobLogFollowers = defaultJobLogFollowers
	}
	if s.MaxDescriptors == 0 {
		s.MaxDescriptors = defaultMaxDescriptors
	}
	if errs := s.validate(); len(errs) > 0 {
		return Settings{}, errs
	}
	return s, nil
}

// validate returns all errors in the settings.
func (s Settings) validate() setting.Errors {
	var errs setting.Errors
	addError := func(path, message string) { errs = append(errs, setting.Error{Path: path, Message: message}) }
	if s.VM == "" {
		addError("vm", "is missing")
	}
	if s.DataCentre == "" {
		addError("dataCentre", "is missing")
	}
	if _, err := netip.ParseAddr(s.IP); err != nil {
		addError("ip", "must be an IP address")
	}
	for path, address := range map[string]cs.Address{
		"listen.callers": s.Listen.Callers, "listen.ready": s.Listen.Ready, "store.address": s.Store.Address,
	} {
		if _, err := netip.ParseAddrPort(string(address)); err != nil {
			addError(path, `must be an IP address and port such as "10.0.1.7:8080"`)
		}
	}
	for path, n := range map[string]int64{
		"listen.peerPort": int64(s.Listen.PeerPort), "store.partitions": int64(s.Store.PartitionCount),
		"store.maxRecord": int64(s.Store.MaxRecord), "store.maxAppend": int64(s.Store.MaxAppend),
		"grace": int64(s.Grace), "resultLife": int64(s.ResultRetention), "memoryMB": int64(s.MemoryMB),
		"jobLogFollowers": int64(s.JobLogFollowers), "maxDescriptors": int64(s.MaxDescriptors),
	} {
		if n <= 0 {
			addError(path, "must be positive")
		}
	}
	if s.MemoryMB > 0 && s.MaxDescriptors > 0 {
		s.clients().validate(s, addError)
	}
	if s.StrictRevoke && s.Revoke <= 0 {
		addError("revoke", "must be positive if strictRevoke is set")
	}
	if s.Quota.Window < 0 || s.Quota.Overshoot < 0 || s.Quota.Slack < 0 {
		addError("quota", "must not be negative")
	}
	return errs
}

// needsRestart reports whether the settings differ from previous in a field that takes effect only at a
// restart.
func (s Settings) needsRestart(previous Settings) bool {
	s.MemoryMB = previous.MemoryMB
	return s != previous
}

// addressOf returns the address of a port of this VM.
func (s Settings) addressOf(port int) cs.Address {
	return cs.Address(net.JoinHostPort(s.IP, strconv.Itoa(port)))
}
