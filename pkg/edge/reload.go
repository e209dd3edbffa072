package edge

import (
	"context"
	"reflect"
	"time"

	"crocusramp.dev/crocusramp/pkg/settings"
)

// settingsPeriod is how often the settings file is checked for changes without a signal.
const settingsPeriod = time.Second

// watchSettings reloads the settings file after a signal and every settingsPeriod, until
// ctx ends.
func (d *Daemon) watchSettings(ctx context.Context, reload <-chan struct{}) {
	problem := ""
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
		case <-time.After(settingsPeriod):
		}
		problem = d.reloadSettings(problem)
	}
}

// reloadSettings applies the settings file if it has changed. It returns the error text of
// an invalid file and logs it unless it equals problem, the result of the previous call.
func (d *Daemon) reloadSettings(problem string) string {
	next, err := settings.LoadEdge(d.path)
	if err != nil {
		if err.Error() != problem {
			d.log.Error().Err(err).Msg("failed to load the settings file; keeping the previous settings")
		}
		return err.Error()
	}
	old := d.settings.Load()
	if reflect.DeepEqual(next, old) {
		return ""
	}
	d.settings.Store(next)
	d.store.SetAddress(next.Store.Address)
	if next.Store.Address != old.Store.Address {
		d.refreshWatchers() // their pending polls are at the old address
	}
	d.log.Info().Str("store", next.Store.Address).Msg("settings reloaded")
	if next.VM != old.VM || next.Listen != old.Listen || next.Limits != old.Limits {
		d.log.Warn().Msg("changed VM identity, listen addresses or limits take effect at the next start")
	}
	return ""
}
