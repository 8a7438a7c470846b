package program

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"go.uber.org/zap"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"willowdeck-sample": func() {
			p := Program{
				Name: "willowdeck-sample", Summary: "a sample",
				Run: func(string, *zap.Logger) error { return nil },
			}
			os.Exit(p.Main(os.Args[1:], os.Stdout, os.Stderr))
		},
	})
}

func TestScripts(t *testing.T) { testscript.Run(t, testscript.Params{Dir: "testdata"}) }
