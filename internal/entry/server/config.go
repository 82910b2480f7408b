package server

import (
	"fmt"
	"net"
	"net/url"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/operator/config"

	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
)

// Bounds of the settings.
const (
	MaxBodyLimitBytes = 64 << 20 // bytes
	MaxDrain          = time.Hour
	minSecretChars    = 8 // characters
)

// Config holds the settings of an entry server.
type Config struct {
	Network        *netio.Network
	VM             string
	FailureDomain  string
	Listen         string   // host:port of the HTTP API for callers and operators
	PeerListen     string   // host:port for calls from other entries
	PeerKey        string   // shared secret of all entries
	Seeds          []string // peer addresses (host:port) to contact first
	LogURL         string
	LogRetention   time.Duration // how long the log service keeps a record
	VMListURL      string
	WeightStoreURL string
	OperatorToken  string
	MaxBodyBytes   int
	Drain          time.Duration
}

// Check validates the settings. It returns an error of KindSetting that names the
// flag, the value (hidden for secrets) and the allowed values of the first invalid one.
func (c *Config) Check() error {
	for _, f := range []struct{ flag, value string }{{"--vm", c.VM}, {"--failure-domain", c.FailureDomain}} {
		if f.value == "" {
			return settingError(f.flag, f.value, "a name")
		}
	}
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		return settingError("--listen", c.Listen, "host:port")
	}
	if _, _, err := net.SplitHostPort(c.PeerListen); err != nil {
		return settingError("--peer-listen", c.PeerListen, "host:port")
	}
	for _, seed := range c.Seeds {
		if _, _, err := net.SplitHostPort(seed); err != nil {
			return settingError("--seeds", seed, "host:port")
		}
	}
	for _, f := range []struct{ flag, value string }{
		{"--log-url", c.LogURL}, {"--vm-list-url", c.VMListURL}, {"--weight-store-url", c.WeightStoreURL},
	} {
		if u, err := url.Parse(f.value); err != nil || u.Scheme != "http" || u.Host == "" {
			return settingError(f.flag, f.value, "http://host:port")
		}
	}
	for _, f := range []struct{ flag, value string }{{"--operator-token", c.OperatorToken}, {"--peer-key", c.PeerKey}} {
		if len(f.value) < minSecretChars {
			return settingError(f.flag, "(hidden)", fmt.Sprintf("at least %d characters", minSecretChars))
		}
	}
	if c.LogRetention < config.MinRetention || c.LogRetention > config.MaxRetention {
		return settingError("--log-retention", c.LogRetention, fmt.Sprintf("%s to %s", config.MinRetention, config.MaxRetention))
	}
	if c.MaxBodyBytes < 1 || c.MaxBodyBytes > MaxBodyLimitBytes {
		return settingError("--max-body-bytes", c.MaxBodyBytes, fmt.Sprintf("1 to %d", MaxBodyLimitBytes))
	}
	if c.Drain <= 0 || c.Drain > MaxDrain {
		return settingError("--drain", c.Drain, fmt.Sprintf("above 0 and up to %s", MaxDrain))
	}
	return nil
}

func settingError(flag string, value any, allowed string) error {
	return fail("check settings", KindSetting, fmt.Errorf("%s: %q is not allowed; allowed: %s", flag, fmt.Sprint(value), allowed))
}
