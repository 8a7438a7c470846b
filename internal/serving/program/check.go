package program

import (
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"

	"willowdeck/internal/serving/configuration"
	"willowdeck/internal/serving/settings"
)

// check validates the settings file and the configuration in each of files. It prints one line for each valid
// file, and returns the error of the first invalid one.
func (p *Program) check(settingsPath string, files []string, output io.Writer) error {
	path, err := settings.Path(settingsPath)
	if err != nil {
		return err
	}
	config, err := settings.Load(path)
	if err != nil {
		return err
	}
	fmt.Fprintf(output, "settings: %s in zone %s of region %s\n",
		config.NodeName, config.Zone, config.Region)
	for _, file := range files {
		body, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		document, err := configuration.ParseAndValidate(body)
		if err != nil {
			return errors.WithMessagef(err, "%s: cores refuse it; one that an earlier build has accepted stays in "+
				"force until the next valid one", file)
		}
		fmt.Fprintf(output, "configuration: generation %d, %d routes\n",
			document.Generation, len(document.Routes()))
	}
	return nil
}
