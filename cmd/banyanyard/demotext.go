package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// Bearer keys of the demo's two organisations.
const (
	demoNurseKey  = "demo-key-nurses"
	demoFamilyKey = "demo-key-families"
)

var demoDomains = []string{"milano-a", "torino-b", "pavia-c"}

var demoRules = fmt.Sprintf(`# Rules of the demo: one rule a line, each with the person who asked for it.
failure-domain = { id = "milano-a", state = "in" } # G. Ferri: set-up
failure-domain = { id = "torino-b", state = "in" } # G. Ferri: set-up
failure-domain = { id = "pavia-c", state = "in" } # G. Ferri: set-up
model = { id = "tiglio", context-tokens = 8192 } # C. Rossi: small model for tags and questions
version = { model = "tiglio", id = "v1", state = "serving", input-cost = 1, output-cost = 4 } # C. Rossi: set-up
version = { model = "tiglio", id = "v2", state = "serving", input-cost = 1, output-cost = 4 } # C. Rossi: candidate
model = { id = "quercia", context-tokens = 32768 } # C. Rossi: large model for dossiers
version = { model = "quercia", id = "v1", state = "serving", input-cost = 10, output-cost = 40 } # C. Rossi: set-up
version = { model = "quercia", id = "v2", state = "draining", input-cost = 12, output-cost = 48 } # C. Rossi: being withdrawn
rollout = { model = "tiglio", from = "v1", to = "v2", shares-percent = [1, 10, 50, 100], step = 1 } # C. Rossi: ticket 31
class = { id = "family-question", models = ["tiglio", "quercia"], quality-target = 0.8 } # L. Bruno: answers for families
organisation = { id = "nurses", keys = ["%s"], weight = 2 } # L. Bruno: hospital discharge
organisation = { id = "families", keys = ["%s"] } # L. Bruno: public site
allow = { organisation = "nurses", model = "tiglio" } # L. Bruno: tags
allow = { organisation = "nurses", model = "quercia" } # L. Bruno: dossiers
allow = { organisation = "nurses", class = "family-question" } # L. Bruno: questions
allow = { organisation = "nurses", service = "booking" } # L. Bruno: bed holds
allow = { organisation = "families", model = "tiglio" } # L. Bruno: questions
service = { id = "booking", refuses-before-running = true } # G. Ferri: bed holds
service-call = { service = "booking", method = "POST", path = "/holds", idempotent = false } # G. Ferri: one hold a call
`, keyHash(demoNurseKey), keyHash(demoFamilyKey))

// Formats of the upstreams' rules, whose addresses are known once they run.
const (
	demoEngineRule  = "upstream = { id = %q, failure-domain = %q, address = %q, serves = [\"%s@v1\", \"%s@v2\"], max-requests = 24, cold-requests = 6, checks-fence = true } # G. Ferri: set-up\n"
	demoServiceRule = "upstream = { id = \"booking-%s\", failure-domain = %q, address = %q, service = \"booking\", max-requests = 12, cold-requests = 6 } # G. Ferri: set-up\n"
)

// keyHash returns the hash by which the rules name a bearer key.
func keyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return "sha256:" + hex.EncodeToString(sum[:])
}

const demoAddressesFormat = `entry instances  %s  %s  %s
operators        http://%s/status  (also /metrics, /readyz; the next two ports for the others)
`

const demoExamplesFormat = `keys             demo-key-nurses (all models, booking)   demo-key-families (tiglio only)

a plain answer
  curl -s http://%[1]s/v1/chat/completions -H 'Authorization: Bearer demo-key-nurses' -d '{"model":"family-question","messages":[{"role":"user","content":"Which homes in Pavia have a free bed?"}]}'
a stream
  curl -sN http://%[1]s/v1/chat/completions -H 'Authorization: Bearer demo-key-nurses' -d '{"model":"quercia","stream":true,"messages":[{"role":"user","content":"Draft a dossier"}]}'
a refusal
  curl -s http://%[1]s/v1/chat/completions -H 'Authorization: Bearer demo-key-families' -d '{"model":"quercia","messages":[{"role":"user","content":"Draft a dossier"}]}'
a bed hold, sent twice with one key to two instances: one hold
  curl -si http://%[1]s/services/booking/holds -H 'Authorization: Bearer demo-key-nurses' -H 'Idempotency-Key: hold-1' -d 'bed 12'
  curl -si http://%[2]s/services/booking/holds -H 'Authorization: Bearer demo-key-nurses' -H 'Idempotency-Key: hold-1' -d 'bed 12'
`

// demoReadyMessage returns the format of the message that the demo prints when it
// is ready. The example calls work with the demo's own rules only.
func demoReadyMessage(customRules bool) string {
	if customRules {
		return demoAddressesFormat
	}
	return demoAddressesFormat + demoExamplesFormat
}
