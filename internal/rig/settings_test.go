// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package rig

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/traildrift/traildrift/internal/entry"
	"github.com/traildrift/traildrift/internal/guard"
	"github.com/traildrift/traildrift/internal/proc"
	"github.com/traildrift/traildrift/internal/router"
	"github.com/traildrift/traildrift/pkg/config"
)

// settingRows returns the row of docs/SETTINGS.md for each key of a process settings struct.
func settingRows(t reflect.Type) []string {
	var rows []string
	for i := range t.NumField() {
		f := t.Field(i)
		if f.Anonymous {
			continue
		}
		name, _, optional := strings.Cut(f.Tag.Get("yaml"), ",")
		need := "required"
		if optional {
			need = "optional"
		}
		rows = append(rows, fmt.Sprintf("| `%s` | %s | %s |", name, need, f.Tag.Get("doc")))
	}
	return rows
}

// TestSettingsPage checks that docs/SETTINGS.md has exactly the rows that the code defines.
func TestSettingsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	var want []string
	for _, k := range config.SettingSpecs() {
		want = append(want, fmt.Sprintf("| `%s` | %s | %s | %s | %s | %s |", k.Name, k.Type, k.Unit, k.Default, k.Allowed, k.Doc))
	}
	for _, typ := range []reflect.Type{reflect.TypeFor[proc.Common](), reflect.TypeFor[entry.Settings](), reflect.TypeFor[guard.Settings](), reflect.TypeFor[router.Settings]()} {
		want = append(want, settingRows(typ)...)
	}
	for _, row := range want {
		if !strings.Contains(string(page), row+"\n") {
			t.Errorf("docs/SETTINGS.md lacks the row\n%s", row)
		}
	}
	if got := strings.Count(string(page), "\n| `"); got != len(want) {
		t.Errorf("rows in docs/SETTINGS.md: got %d, want %d", got, len(want))
	}
}
