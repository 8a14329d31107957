package settings

// Defaults of the optional keys of a settings file, with the units of the fields in Settings.
const (
	defaultCPUShare       = 0.5
	defaultCores          = 1
	defaultMemoryMb       = 256
	defaultMaxFds         = 1024
	defaultHeartbeatMs    = 1200
	defaultSeedLagS       = 3
	defaultReuseAfterS    = 2
	defaultContactMs      = 4000
	defaultAckMs          = 5000
	defaultSyncS          = 4.4
	defaultDrainMs        = 3000
	defaultGraceS         = 6
	defaultLossSlackMs    = 200
	defaultConfigApplyMs  = 3000
	defaultDowngradeMs    = 250
	defaultRecoveryS      = 12
	defaultFinishS        = 10
	defaultStatusS        = 120
	defaultEarlyMs        = 100
	defaultCeilingWindowS = 5
	defaultOriginOverrun  = 1.1
	defaultCloudRatePerS  = 10
	defaultCloudLagMs     = 800
)

// applyDefaults sets each optional field that is zero to its default. An explicit 0 in the file is
// therefore replaced too.
func (s *Settings) applyDefaults() {
	setDefault(&s.Limits.CPUShare, defaultCPUShare)
	setDefault(&s.Limits.Cores, defaultCores)
	setDefault(&s.Limits.MemoryMb, defaultMemoryMb)
	setDefault(&s.Limits.MaxFds, defaultMaxFds)
	setDefault(&s.HeartbeatMs, defaultHeartbeatMs)
	setDefault(&s.Cloud.RatePerS, defaultCloudRatePerS)
	setDefault(&s.Cloud.LagMs, defaultCloudLagMs)
	s.Bounds.applyDefaults()
}

// applyDefaults sets each bound that is zero to its default.
func (b *Bounds) applyDefaults() {
	setDefault(&b.SeedLagS, defaultSeedLagS)
	setDefault(&b.ReuseAfterS, defaultReuseAfterS)
	setDefault(&b.ContactMs, defaultContactMs)
	setDefault(&b.AckMs, defaultAckMs)
	setDefault(&b.SyncS, defaultSyncS)
	setDefault(&b.DrainMs, defaultDrainMs)
	setDefault(&b.GraceS, defaultGraceS)
	setDefault(&b.LossSlackMs, defaultLossSlackMs)
	setDefault(&b.ConfigApplyMs, defaultConfigApplyMs)
	setDefault(&b.DowngradeMs, defaultDowngradeMs)
	setDefault(&b.RecoveryS, defaultRecoveryS)
	setDefault(&b.FinishS, defaultFinishS)
	setDefault(&b.StatusS, defaultStatusS)
	setDefault(&b.EarlyMs, defaultEarlyMs)
	setDefault(&b.CeilingWindowS, defaultCeilingWindowS)
	setDefault(&b.OriginOverrun, defaultOriginOverrun)
}

// setDefault sets a field to value if it is zero.
func setDefault[Number int | float64](field *Number, value Number) {
	if *field == 0 {
		*field = value
	}
}
