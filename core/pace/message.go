package pace

// Message is what entry hosts tell each other about backend servers.
type Message struct {
	Windows []Report      `cbor:"1,keyasint,omitempty"`
	Speeds  []SpeedReport `cbor:"2,keyasint,omitempty"`
}
