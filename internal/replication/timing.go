package replication

import "snowflow/internal/monotonic"

// This file derives all intervals and timeouts that follow from Config.LeaseDuration and Config.HeartbeatInterval.

// longAgo stands for the time of an event that never happened, before any timeout that counts from it.
const longAgo = -monotonic.Minute

// renewInterval is how often a primary renews its lease and sends its backups a heartbeat: a lease outlasts one renewal that
// fails.
func (c *Config) renewInterval() monotonic.Micros { return c.LeaseDuration / 3 }

// pollInterval is how soon a process that has just started looks for a primary again.
func (c *Config) pollInterval() monotonic.Micros { return c.HeartbeatInterval / 6 }

// silentPollInterval is how soon a member whose primary is silent looks again whether it may campaign.
func (c *Config) silentPollInterval() monotonic.Micros { return 2 * c.pollInterval() }

// refreshTimeout is how long a member that may campaign waits for the registers of the others. It is short, since responses
// that come later are recorded too.
func (c *Config) refreshTimeout() monotonic.Micros { return 2 * c.pollInterval() }

// joinInterval is how long a process without a register waits between two requests to be added to the voters. standbyInterval is
// the same for one that has a register, which then needn't hurry. With the default settings both are below
// standbyTimeout.
func (c *Config) joinInterval() monotonic.Micros    { return c.LeaseDuration / 2 }
func (c *Config) standbyInterval() monotonic.Micros { return c.LeaseDuration - c.HeartbeatInterval }

// backupElectionTimeout is how long the primary must be silent before a backup campaigns though no quorum seems free;
// voterElectionTimeout is the same for other voters, which leave the backups time to go first.
func (c *Config) backupElectionTimeout() monotonic.Micros {
	return c.LeaseDuration + c.HeartbeatInterval
}

func (c *Config) voterElectionTimeout() monotonic.Micros {
	return c.LeaseDuration + 3*c.HeartbeatInterval
}

// bootstrapElectionTimeout is the election timeout of an initial voter at the group's first start. rank is its position among them,
// from one, so that they don't campaign at once.
func (c *Config) bootstrapElectionTimeout(rank int) monotonic.Micros {
	return monotonic.Micros(rank) * c.LeaseDuration
}

// maxCampaignJitter bounds the random part of the wait after a campaign that failed.
func (c *Config) maxCampaignJitter() monotonic.Micros { return 2 * c.HeartbeatInterval }

// coldStartTimeout is for how long after its start a process that has heard of no primary polls often. longSilence is after how
// long a silence of the primary a member polls seldom.
func (c *Config) coldStartTimeout() monotonic.Micros { return 2 * c.LeaseDuration }
func (c *Config) longSilence() monotonic.Micros      { return 4 * c.LeaseDuration }

// successorGrace is how long a primary that transferred its leadership leaves to its successor, beyond its own election timeout.
func (c *Config) successorGrace() monotonic.Micros { return 4 * c.LeaseDuration }

// silentVoterTimeout is how long a voter may be silent before the membership policy no longer counts on its vote.
func (c *Config) silentVoterTimeout() monotonic.Micros { return 2 * c.LeaseDuration }

// lastResortTimeout is how long a backup that can't be replaced may take to store a batch: enough to compact its journal.
func (c *Config) lastResortTimeout() monotonic.Micros { return 3 * c.LeaseDuration }
