package endpoints

import (
	"bytes"
	"encoding/json"
	"math/rand"
	"slices"
	"testing"
)

// decodeAtOnce decodes a list in one call of json.Unmarshal, as earlier versions did.
func decodeAtOnce(raw []byte) (list List, err error) {
	var decoded listMessage
	if err := json.Unmarshal(raw, &decoded); err != nil {
		return List{}, err
	}
	list = List{Version: decoded.Index, Snapshot: decoded.Snapshot}
	for i := range decoded.Endpoints {
		worker, err := new(decoder).toWorker(i, &decoded.Endpoints[i])
		if err != nil {
			return List{}, err
		}
		list.Workers = append(list.Workers, worker)
	}
	return list, nil
}

// Decoding entry by entry accepts and gives the same as json.Unmarshal, also for damaged texts. Texts that
// have the key of the workers twice, or are null, are left out: the two differ there.
func TestDecodeMatchesUnmarshal(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	unusual := []string{`{"index":1,"snapshot":null,"endpoints":null}`, `{}`, `{"INDEX":3,"Endpoints":[]}`, `[]`,
		`7`, `{"index":4,"x":{"endpoints":[{"name":"z"}],"index":9},"snapshot":true}`, `{"endpoints":[null]}`,
		`{"endpoints":{}}`, `{"index":1.5}`, `{"index":7,"endpoints":[[]]}`, snapshotText + changeText, ` ` +
			snapshotText + "\n",
		`{"endpoints":[{"name":"a","status":"left","address":7}]}`, `{"index":1,"index":2}`, `"a"`, `{"a":[}`}
	compared, accepted := 0, 0
	check := func(raw []byte) {
		want, wantErr := decodeAtOnce(raw)
		got, err := Decode(raw)
		if string(bytes.TrimSpace(raw)) == "null" || bytes.Count(bytes.ToLower(raw), []byte("endpoints")) > 1 &&
			wantErr == nil && bytes.Count(raw, []byte(`"x"`)) == 0 {
			return
		}
		if (err == nil) != (wantErr == nil) || got.Version != want.Version || got.Snapshot != want.Snapshot ||
			!slices.Equal(got.Workers, want.Workers) {
			t.Fatalf("%q: %+v, %v; json.Unmarshal gives %+v, %v", raw, got, err, want, wantErr)
		}
		if compared++; err == nil {
			accepted++
		}
	}
	for _, text := range unusual {
		check([]byte(text))
	}
	for range 60000 {
		raw := []byte([]string{snapshotText, changeText, unusual[rng.Intn(len(unusual))]}[rng.Intn(3)])
		for range 1 + rng.Intn(3) {
			switch i := rng.Intn(len(raw)); rng.Intn(3) {
			case 0:
				raw[i] = `{}[],:"0 ntx\`[rng.Intn(13)]
			case 1:
				raw = append(raw[:i:i], raw[i+1:]...)
			default:
				k := rng.Intn(len(raw))
				raw[i], raw[k] = raw[k], raw[i]
			}
			if len(raw) == 0 {
				break
			}
		}
		check(raw)
	}
	if accepted < 3000 || compared-accepted < 3000 {
		t.Errorf("%d lists of %d texts", accepted, compared)
	}
}
