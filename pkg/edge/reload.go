package edge

import (
	"context"
	"reflect"
	"time"

	"crocusramp.dev/crocusramp/pkg/settings"
)

// settingsPeriod is how often the settings file is looked at without a signal.
const settingsPeriod = time.Second

// watchSettings takes in changes of the settings file: after a signal, and at
// the latest with the next look.
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

// reloadSettings takes over the settings file where it has changed. It returns
// what is wrong with the file, and logs that once.
func (d *Daemon) reloadSettings(problem string) string {
	next, err := settings.LoadEdge(d.path)
	if err != nil {
		if err.Error() != problem {
			d.log.Error().Err(err).Msg("the changed settings are not taken over")
		}
		return err.Error()
	}
	old := d.settings.Load()
	if reflect.DeepEqual(next, old) {
		return ""
	}
	d.settings.Store(next)
	d.store.SetAddress(next.Store.Address)
	d.log.Info().Str("store", next.Store.Address).Msg("settings taken over")
	if next.VM != old.VM || next.Listen != old.Listen {
		d.log.Warn().Msg("the changed identity or addresses take effect at the next start")
	}
	return ""
}
