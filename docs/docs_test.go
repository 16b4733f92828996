package docs_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/crocusstile/crocusstile/cli"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/gateway"
	"github.com/crocusstile/crocusstile/meter"
	"github.com/crocusstile/crocusstile/setting"
)

// TestOperatorsPage guards against commands, settings, defaults and metrics that the operators' page
// lacks or shows with another default.
func TestOperatorsPage(t *testing.T) {
	data, err := os.ReadFile("operators.md")
	qt.Assert(t, err, qt.IsNil)
	page := string(data)
	qt.Assert(t, len(commands()) > 10, qt.IsTrue)
	for _, c := range commands() {
		qt.Check(t, page, qt.Contains, "| `"+c+"` | `crocusstile "+c)
	}
	for _, c := range fleet.CounterValues() {
		qt.Check(t, page, qt.Contains, "| `crocusstile_"+c.String()+"_total` |")
	}
	for _, h := range meter.TimingValues() {
		qt.Check(t, page, qt.Contains, "| `crocusstile_"+h.String()+"_seconds` |")
	}
	var root property
	qt.Assert(t, json.Unmarshal(setting.Schema(), &root), qt.IsNil)
	checkSettings(t, page, "", root)
}

// TestOperationsPage guards against log events and gauges that the operations page lacks.
func TestOperationsPage(t *testing.T) {
	data, err := os.ReadFile("OPERATIONS.md")
	qt.Assert(t, err, qt.IsNil)
	for _, k := range gateway.NoteKindValues() {
		qt.Check(t, string(data), qt.Contains, "`"+k.String()+"`")
	}
	for _, g := range meter.GaugeValues() {
		qt.Check(t, string(data), qt.Contains, "`crocusstile_"+g.String()+"`")
	}
}

// commands returns the names that the tool's usage lists.
func commands() []string {
	var usage bytes.Buffer
	cli.Run(context.Background(), []string{"-h"}, cli.Terminal{Out: &usage, Err: io.Discard})
	var names []string
	for line := range strings.Lines(usage.String()) {
		if name, _, ok := strings.Cut(strings.TrimPrefix(line, "  "), "  "); ok && strings.HasSuffix(line, ".\n") {
			names = append(names, name)
		}
	}
	return names
}

// property is a field of the settings' schema.
type property struct {
	Default    json.RawMessage
	Properties map[string]property
}

func checkSettings(t *testing.T, page, path string, p property) {
	for name, field := range p.Properties {
		at := path + name
		if len(field.Properties) > 0 {
			checkSettings(t, page, at+".", field)
			continue
		}
		want := "| `" + at + "` | "
		if field.Default != nil {
			want += "`" + strings.Trim(string(field.Default), `"`) + "` |"
		}
		qt.Check(t, page, qt.Contains, want)
	}
}
