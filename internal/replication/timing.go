package replication

import "snowflow/internal/monotonic"

// This file defines all intervals and timeouts that derive from Config.LeaseDuration and Config.ElectionInterval.

// longAgo stands for the time of an event that never happened, early enough for every timeout counted from it to have passed.
const longAgo = -monotonic.Minute

// renewInterval is how often a primary renews its lease and sends its backups a heartbeat. It is short enough for a lease to outlast
// one failed renewal.
func (c *Config) renewInterval() monotonic.Micros { return c.LeaseDuration / 3 }

// pollInterval is how soon a process that has just started looks for a primary again.
func (c *Config) pollInterval() monotonic.Micros { return c.ElectionInterval / 6 }

// silentPollInterval is how soon a member whose primary is silent checks again whether it may campaign.
func (c *Config) silentPollInterval() monotonic.Micros { return 2 * c.pollInterval() }

// refreshTimeout is how long a member that may campaign waits for the registers of the others. It is short because responses
// that arrive later are recorded too.
func (c *Config) refreshTimeout() monotonic.Micros { return 2 * c.pollInterval() }

// joinInterval is how long a process without a register waits between two requests to be added to the voters. standbyInterval is
// the same for a process with a register, for which it is less urgent. With the default settings both are below standbyTimeout.
func (c *Config) joinInterval() monotonic.Micros    { return c.LeaseDuration / 2 }
func (c *Config) standbyInterval() monotonic.Micros { return c.LeaseDuration - c.ElectionInterval }

// backupElectionTimeout is how long the primary must be silent before a backup campaigns even if no quorum seems available.
// voterElectionTimeout is the same for other voters. It is longer, so that the backups campaign first.
func (c *Config) backupElectionTimeout() monotonic.Micros {
	return c.LeaseDuration + c.ElectionInterval
}

func (c *Config) voterElectionTimeout() monotonic.Micros {
	return c.LeaseDuration + 3*c.ElectionInterval
}

// bootstrapElectionTimeout is the election timeout of an initial voter at the group's first start. It grows with the voter's rank
// among them, which starts at one, so that they don't campaign at the same time.
func (c *Config) bootstrapElectionTimeout(rank int) monotonic.Micros {
	return monotonic.Micros(rank) * c.LeaseDuration
}

// maxCampaignJitter bounds the random part of the wait after a failed campaign.
func (c *Config) maxCampaignJitter() monotonic.Micros { return 2 * c.ElectionInterval }

// coldStartTimeout is how long after its start a process that has not heard from a primary polls frequently. longSilence is how
// long the primary must be silent before a member polls less often.
func (c *Config) coldStartTimeout() monotonic.Micros { return 2 * c.LeaseDuration }
func (c *Config) longSilence() monotonic.Micros      { return 4 * c.LeaseDuration }

// successorGrace is how long a primary that transferred its leadership postpones its own election timeout in favor of its
// successor.
func (c *Config) successorGrace() monotonic.Micros { return 4 * c.LeaseDuration }

// silentVoterTimeout is how long a voter may be silent before the membership policy no longer counts on its vote.
func (c *Config) silentVoterTimeout() monotonic.Micros { return 2 * c.LeaseDuration }

// lastResortTimeout is how long a backup that can't be replaced may take to store a batch. It leaves time to compact the journal.
func (c *Config) lastResortTimeout() monotonic.Micros { return 3 * c.LeaseDuration }
