package carobbench

import "encoding/json"

// variant is a profile, given by the fields that differ from the defaults.
type variant struct {
	name   string
	fields map[string]any
}

// defaultVariants has the names of the variants that are compared if Config names none.
var defaultVariants = []string{"random", "roundrobin", "leastown", "twochoices", "prequal", "default"}

// policyOnly returns a baseline that picks targets by a policy, without hedging,
// ejection or preference for near targets.
func policyOnly(policy string) variant {
	return variant{name: policy, fields: map[string]any{"policy": policy, "hedge": "0%", "eject": "0%", "near": "0%"}}
}

// defaultWith returns the default profile with some fields changed.
func defaultWith(name string, fields map[string]any) variant {
	return variant{name: name, fields: fields}
}

// variants is the table of all profiles that are compared, the baselines first. To
// add one, add a row.
var variants = []variant{
	policyOnly("random"),
	policyOnly("roundrobin"),
	policyOnly("leastown"),
	policyOnly("twochoices"),
	policyOnly("prequal"),
	policyOnly("expected"),
	defaultWith("default", nil),
	// Each of these lacks one mechanism of the default. They are measured only if
	// Config names them.
	defaultWith("nohedge", map[string]any{"hedge": "0%"}),
	defaultWith("noeject", map[string]any{"eject": "0%"}),
	defaultWith("anywhere", map[string]any{"near": "0%"}),
	defaultWith("noprobes", map[string]any{"measure": "0s"}),
}

// profile returns the variant as the JSON file that the publish command reads. The
// base is the offset of the profile that it replaces; -1 if there is none.
func (v variant) profile(base int64) ([]byte, error) {
	fields := map[string]any{"name": profileName, "once": "no", "base": base}
	for key, value := range v.fields {
		fields[key] = value
	}
	return json.Marshal(fields)
}
