package examples_test

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/cli"
	"github.com/crocusstile/crocusstile/setting"
	"github.com/crocusstile/crocusstile/standin"
)

// installation is an element of "deployments" in fleet.json: one installation of the product, not a
// deployment of a model as in tickets. Its field "vms" has the format of the responses of the
// platform's list.
type installation struct {
	Name        string
	Region      string
	DataCentres []cs.DataCentreID
	Delay       string
	ClientDelay string
	VMs         []standin.Registration
}

// TestSettings guards against example settings that the daemon would refuse, or whose VM is not
// registered in fleet.json with the same address and data centre.
func TestSettings(t *testing.T) {
	for _, d := range readFleet(t) {
		s, err := setting.Load(d.Name + ".json")
		qt.Assert(t, err, qt.IsNil)
		found := false
		for _, r := range d.VMs {
			found = found || r.ID == string(s.VM.ID) && r.Address == s.Advertise && r.DataCentre == s.VM.DataCentre
		}
		qt.Assert(t, found, qt.IsTrue, qt.Commentf("%s is not registered with its address and data centre in the installation %s", s.VM.ID, d.Name))
	}
}

// TestFleet guards against a fleet.json whose numbers of VMs, runners and services differ from those
// in section 1.1 of docs/design.md, and against two registrations with one address.
func TestFleet(t *testing.T) {
	want := map[string]map[string]int{
		"hebewerk": {"": 16, "tutor-models": 12, "records-app": 4},
		"verein":   {"": 16, "lese-modelle": 18, "protokoll-dienst": 3},
	}
	taken := map[cs.Address]bool{}
	for _, d := range readFleet(t) {
		counts := map[string]int{}
		centres := map[cs.DataCentreID]bool{}
		for _, r := range d.VMs {
			counts[string(r.Service)]++
			if r.Kind.String() == "entry" {
				centres[r.DataCentre] = true
			}
			a, err := netip.ParseAddrPort(string(r.Address))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, a.Addr().IsLoopback(), qt.IsTrue)
			qt.Assert(t, taken[r.Address], qt.IsFalse, qt.Commentf("address %s is registered twice", r.Address))
			taken[r.Address] = true
		}
		qt.Assert(t, counts, qt.DeepEquals, want[d.Name])
		qt.Assert(t, len(centres), qt.Equals, len(d.DataCentres))
	}
}

// TestLocal guards against settings and a list in the README's example that differ in the id or
// address of the VM.
func TestLocal(t *testing.T) {
	s, err := setting.Load("local/settings.json")
	qt.Assert(t, err, qt.IsNil)
	data, err := os.ReadFile("local/list.json")
	qt.Assert(t, err, qt.IsNil)
	var list struct{ VMs []standin.Registration }
	qt.Assert(t, json.Unmarshal(data, &list), qt.IsNil)
	qt.Assert(t, list.VMs[0].ID, qt.Equals, string(s.VM.ID))
	qt.Assert(t, list.VMs[0].Address, qt.Equals, s.Listen)
}

// TestTickets guards against example tickets that a VM would refuse, and against two with one number,
// of which only the first would be accepted.
func TestTickets(t *testing.T) {
	files, err := filepath.Glob("tickets/*.json")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files), qt.Equals, 5)
	numbers := map[int64]string{}
	for _, file := range files {
		data, err := os.ReadFile(file)
		qt.Assert(t, err, qt.IsNil)
		ticket, err := cli.ParseTicket(data)
		qt.Assert(t, err, qt.IsNil, qt.Commentf(file))
		qt.Assert(t, numbers[ticket.Number], qt.Equals, "", qt.Commentf(file))
		numbers[ticket.Number] = file
	}
}

// readFleet returns the installations in fleet.json.
func readFleet(t *testing.T) []installation {
	data, err := os.ReadFile("fleet.json")
	qt.Assert(t, err, qt.IsNil)
	var fleet struct{ Deployments []installation }
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	qt.Assert(t, d.Decode(&fleet), qt.IsNil)
	qt.Assert(t, len(fleet.Deployments), qt.Equals, 2)
	return fleet.Deployments
}
