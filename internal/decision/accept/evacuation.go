package accept

import "github.com/galenalever/galenalever/internal/model"

// replaceEvacuation replaces the evacuation of the key by that of next, which may be
// nil. It does nothing for other keys.
func (x *index) replaceEvacuation(key model.Key, next *decodedSubtree) {
	domain, ok := key.Evacuation()
	if !ok {
		return
	}
	delete(x.evacuated, domain)
	if next == nil {
		return
	}
	for _, evacuation := range next.declarations.Evacuations {
		x.evacuated[domain] = evacuation
	}
}
