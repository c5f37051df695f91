package carobbench

import "encoding/json"

// variant is a profile, told by what sets it off from the defaults.
type variant struct {
	name   string
	fields map[string]any
}

// usual has the names of the variants that are compared if none are named.
var usual = []string{"random", "roundrobin", "leastown", "twochoices", "prequal", "default"}

// plain picks targets by a rule and does nothing else.
func plain(policy string) variant {
	return variant{name: policy, fields: map[string]any{"policy": policy, "hedge": "0%", "eject": "0%", "near": "0%"}}
}

// with is the default profile but for some fields.
func with(name string, fields map[string]any) variant {
	return variant{name: name, fields: fields}
}

// variants is the look-up table of all profiles that are compared. The first
// ones are the baselines. To add one, add a row.
var variants = []variant{
	plain("random"),
	plain("roundrobin"),
	plain("leastown"),
	plain("twochoices"),
	plain("prequal"),
	plain("expected"),
	with("default", nil),
	// The default without one of its parts each; measured when they are named.
	with("nohedge", map[string]any{"hedge": "0%"}),
	with("noeject", map[string]any{"eject": "0%"}),
	with("anywhere", map[string]any{"near": "0%"}),
	with("noprobes", map[string]any{"measure": "0s"}),
}

// profile returns the variant as a file for publish.
func (v variant) profile(base int64) ([]byte, error) {
	fields := map[string]any{"name": profileName, "once": "no", "base": base}
	for key, value := range v.fields {
		fields[key] = value
	}
	return json.Marshal(fields)
}
