package cluster

import (
	"time"

	"peridotpick.example/common/config"
	"peridotpick.example/common/settings"
)

// Teams and services of the two users.
const (
	AssociationTeam    = "association"
	AssociationService = "tally"
	LicensingTeam      = "licensing"
	LicensingService   = "renewal"
)

// idleBeforeSleep is how long a worker is idle before it sleeps. It is short because a diurnal run of
// the load tool compresses a day to a minute or less.
const idleBeforeSleep = 10 * time.Second

// tableWriteLatency is the time of a synced write to the table service of the platform.
const tableWriteLatency = 5 * time.Millisecond

// Association returns the deployment of the Hospitality Waste Ledger Association at its current size.
func Association() Spec {
	return Spec{
		Region: "nordkyst", DataCentres: []string{"hall-a", "hall-b", "hall-c", "hall-d"},
		Service: AssociationService, Entries: 3, Agents: 11, Slots: 8, Connections: 64, Queue: 8,
		RackSize: 3, Cores: 16, MemoryMB: 64 << 10, WakeTime: 2 * time.Second, WriteLatency: tableWriteLatency,
		Document: config.Document{
			Teams: []config.Team{{Name: AssociationTeam, Weight: 1}},
			Services: []config.Service{{Name: AssociationService, Kinds: []config.Kind{
				{Name: "tray-scan", Repeatable: true, Class: "batch", MaxRun: settings.Duration(15 * time.Second)},
				{Name: "shift-close", Class: "interactive", MaxRun: settings.Duration(15 * time.Second)},
				{Name: "allergen-flag", Repeatable: true, Class: "urgent", MaxRun: settings.Duration(15 * time.Second)},
			}}},
			Policy: config.Policy{ResponseWeight: 0.8, Headroom: 0.3, MinAwake: 1, IdleBeforeSleep: settings.Duration(idleBeforeSleep)},
		},
	}
}

// Licensing returns the deployment of the Dog Licensing Unit at its current size.
func Licensing() Spec {
	return Spec{
		Region: "selangor-sel", DataCentres: []string{"bilik-a", "bilik-b", "bilik-c"},
		Service: LicensingService, Entries: 3, Agents: 11, Slots: 8, Connections: 64, Queue: 8,
		RackSize: 3, Cores: 32, MemoryMB: 128 << 10, WakeTime: 2 * time.Second, WriteLatency: tableWriteLatency,
		Document: config.Document{
			Teams: []config.Team{{Name: LicensingTeam, Weight: 1}},
			Services: []config.Service{{Name: LicensingService, Kinds: []config.Kind{
				{Name: "renew", Class: "batch", MaxRun: settings.Duration(15 * time.Second)},
				{Name: "counter-renew", Class: "interactive", MaxRun: settings.Duration(15 * time.Second)},
				{Name: "tag-check", Repeatable: true, Class: "urgent", MaxRun: settings.Duration(15 * time.Second)},
			}}},
			Policy: config.Policy{ResponseWeight: 0.1, Headroom: 0.2, MinAwake: 1, IdleBeforeSleep: settings.Duration(idleBeforeSleep)},
		},
	}
}
