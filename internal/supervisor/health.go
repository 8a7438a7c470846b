package supervisor

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// maxAdminAnswer limits how many bytes of an admin port's response are read.
const maxAdminAnswer = 1 << 20

// checkProcesses checks the health of starting processes and the member count of reloading ones. It records
// the exits of adopted processes and orphans, which the daemon cannot wait for: they are not its children.
func (d *Daemon) checkProcesses() {
	d.mu.Lock()
	d.reapOrphans()
	var starting, reloading []*processRecord
	for _, process := range d.processes {
		switch {
		case !process.child && !process.alive():
			d.recordExit(process)
		case !process.ready:
			starting = append(starting, process)
		case process.reloading:
			reloading = append(reloading, process)
		}
	}
	wantedStat := fmt.Sprintf("svc.members=%d\n", d.settings.fleetSize)
	d.mu.Unlock()
	for _, process := range reloading {
		if stats, err := d.getAdmin(process, "/admin/stats"); err == nil && strings.Contains(stats, wantedStat) {
			d.recordReload(process)
		}
	}
	for _, process := range starting {
		if _, err := d.getAdmin(process, "/admin/health"); err == nil {
			d.recordReady(process)
		}
	}
}

func (d *Daemon) recordReady(process *processRecord) {
	d.mu.Lock()
	defer d.mu.Unlock()
	process.ready = true
	d.reconciler.ProcessReady(process.Instance, process.number)
	d.log.Info().Str("instance", process.Instance).Int("pid", process.PID).Msg("instance process ready")
}

// recordReload records that a process has reloaded its configuration, unless the desired configuration has
// changed again meanwhile.
func (d *Daemon) recordReload(process *processRecord) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !process.reloading || !bytes.Equal(process.Config, d.slots[process.Instance].instance.Config) {
		return
	}
	process.reloading = false
	d.reconciler.ProcessReloaded(process.Instance, process.number)
	d.log.Info().Str("instance", process.Instance).Int("pid", process.PID).
		Msg("instance process has reloaded the membership")
}

// getAdmin sends a GET request to a process's admin port and returns the body. A status other than 200 is an
// error. It reads only the process's address, which never changes, and so needs no lock.
func (d *Daemon) getAdmin(process *processRecord, path string) (string, error) {
	response, err := d.httpClient.Get("http://" + process.AdminAddress + path)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAdminAnswer))
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", response.StatusCode)
	}
	return string(body), err
}
