package config

import (
	"bytes"
	"encoding/json"
	"testing"

	"willowdeck/internal/strictoml"
	"willowdeck/internal/testkit/goldenform"
)

// The golden files were written once, at commit d6a566a, by a test that was not kept: settings.json,
// forward.toml and journal.toml have every key of Form.Value in lower case. The gatekeeper*.json, *-used.toml
// and forward-open.toml files were written by hand, with values that pass all checks, and the .txt files are
// what goldenform.Values listed of them. They stand for what operators and other programs write, and are
// never written again; a test that fails here is met by a tag with the old key.

var goldenForms = []goldenform.Form{
	{File: "settings.json", New: func() any { return &settingsFile{} }, Decode: decodeStrictly},
	{File: "forward.toml", New: func() any { return &forwardAuthFile{} },
		Decode: func(raw []byte, into any) error { return strictoml.Decode(string(raw), into) }},
	{File: "journal.toml", New: func() any { return &journalFile{} },
		Decode: func(raw []byte, into any) error { return strictoml.Decode(string(raw), into) }},
}

// decodeStrictly refuses a key that names no field, which json.Unmarshal would pass over.
func decodeStrictly(raw []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	return d.Decode(into)
}

func TestGoldenKeys(t *testing.T) {
	for _, form := range goldenForms {
		t.Run(form.File, form.Check)
	}
}

// TestGoldenGatekeeper: every key of the configuration file reaches what the program goes by.
func TestGoldenGatekeeper(t *testing.T) {
	g, err := Decode(goldenform.Read(t, "gatekeeper.json"), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	if got, want := goldenform.Values(g), string(goldenform.Read(t, "gatekeeper.txt")); got != want {
		t.Errorf("the configuration is read as\n%s\nwant\n%s", got, want)
	}
	env := map[string]string{"NODE_NAME": "n7", "NODE_LISTEN": "127.0.0.1:1", "NODE_DISCOVERY": "127.0.0.1:2",
		"NODE_CONTROL": "127.0.0.1:3", "NODE_FD": "4", "TMPDIR": "/five"}
	g, err = Decode(goldenform.Read(t, "gatekeeper-bare.json"), func(key string) string { return env[key] })
	if err != nil || g.Name != "n7" || g.ListenAddress != "127.0.0.1:1" || g.DiscoveryAddress != "127.0.0.1:2" ||
		g.AdminAddress != "127.0.0.1:3" || g.ListenerFD != 4 || g.SharedDir != "/five" {
		t.Errorf("%v: from the environment: %+v", err, g)
	}
}

// TestGoldenOperatorFiles: every key of the operators' files reaches what the program goes by.
func TestGoldenOperatorFiles(t *testing.T) {
	g, err := Decode(goldenform.Read(t, "gatekeeper.json"), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"forward-used", "forward-open"} { // customer and open exclude each other
		f, err := DecodeForwardAuth(string(goldenform.Read(t, name+".toml")), &g)
		if err != nil {
			t.Fatal(err)
		}
		if got, want := goldenform.Values(f), string(goldenform.Read(t, name+".txt")); got != want {
			t.Errorf("%s is read as\n%s\nwant\n%s", name, got, want)
		}
	}
	j, err := DecodeJournal(string(goldenform.Read(t, "journal-used.toml")))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := goldenform.Values(j), string(goldenform.Read(t, "journal-used.txt")); got != want {
		t.Errorf("the journal's file is read as\n%s\nwant\n%s", got, want)
	}
}
