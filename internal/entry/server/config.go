package server

import (
	"fmt"
	"net"
	"net/url"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/operator/config"

	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
)

// Limits of the settings.
const (
	MaxBody    = 64 << 20 // bytes
	MaxDrain   = time.Hour
	minSecrets = 8 // characters
)

// Config holds the settings of an entry.
type Config struct {
	Network        *netio.Network
	VM             string
	FailureDomain  string
	Listen         string   // host:port, for callers and operators
	PeerListen     string   // host:port, for other entries
	PeerKey        string   // shared by all entries
	Seeds          []string // host:port of the peer addresses of some entries
	LogURL         string
	LogRetention   time.Duration // how long the log keeps a record
	VMListURL      string
	WeightStoreURL string
	OperatorToken  string
	MaxBodyBytes   int
	Drain          time.Duration
}

// Check reports the first setting that is not allowed. The error names its flag,
// its value and what is allowed.
func (c *Config) Check() error {
	for _, f := range []struct{ flag, value string }{{"--vm", c.VM}, {"--failure-domain", c.FailureDomain}} {
		if f.value == "" {
			return setting(f.flag, f.value, "a name")
		}
	}
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		return setting("--listen", c.Listen, "host:port")
	}
	if _, _, err := net.SplitHostPort(c.PeerListen); err != nil {
		return setting("--peer-listen", c.PeerListen, "host:port")
	}
	for _, seed := range c.Seeds {
		if _, _, err := net.SplitHostPort(seed); err != nil {
			return setting("--seeds", seed, "host:port")
		}
	}
	for _, f := range []struct{ flag, value string }{
		{"--log-url", c.LogURL}, {"--vm-list-url", c.VMListURL}, {"--weight-store-url", c.WeightStoreURL},
	} {
		if u, err := url.Parse(f.value); err != nil || u.Scheme != "http" || u.Host == "" {
			return setting(f.flag, f.value, "http://host:port")
		}
	}
	for _, f := range []struct{ flag, value string }{{"--operator-token", c.OperatorToken}, {"--peer-key", c.PeerKey}} {
		if len(f.value) < minSecrets {
			return setting(f.flag, "(hidden)", fmt.Sprintf("at least %d characters", minSecrets))
		}
	}
	if c.LogRetention < config.MinRetention || c.LogRetention > config.MaxRetention {
		return setting("--log-retention", c.LogRetention, fmt.Sprintf("%s to %s", config.MinRetention, config.MaxRetention))
	}
	if c.MaxBodyBytes < 1 || c.MaxBodyBytes > MaxBody {
		return setting("--max-body-bytes", c.MaxBodyBytes, fmt.Sprintf("1 to %d", MaxBody))
	}
	if c.Drain <= 0 || c.Drain > MaxDrain {
		return setting("--drain", c.Drain, fmt.Sprintf("above 0 and up to %s", MaxDrain))
	}
	return nil
}

func setting(flag string, value any, allowed string) error {
	return fail("check settings", KindSetting, fmt.Errorf("%s: %q is not allowed; allowed: %s", flag, fmt.Sprint(value), allowed))
}
