package publisher

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/rotisserie/eris"
)

// Errors of a received text. They depend on its bytes alone, so that all
// readers of the log agree on them.
var (
	errTooLarge  = eris.Errorf("rule list is over %d bytes", MaxListBytes)
	errMalformed = eris.New("packed rule list is malformed")
	errBothForms = eris.New("rule list came both as text and packed")
)

// pack returns the gzip-compressed text, or nil if that would not be shorter.
//
// Every instance of the fleet reads every list from the log, so the text is
// most of the cost of a change. Example: a list of 240 models, some 70 KB, is
// sent to 390 instances 4,300 times a day. docs/RULES.md compares the
// alternatives.
func pack(text string) []byte {
	var packed bytes.Buffer
	w, err := gzip.NewWriterLevel(&packed, gzip.BestCompression)
	if err != nil {
		return nil
	}
	if _, err := io.WriteString(w, text); err != nil {
		return nil
	}
	if err := w.Close(); err != nil || packed.Len() >= len(text) {
		return nil
	}
	return packed.Bytes()
}

// unpack returns the text of a packed list. It decompresses no more than
// MaxListBytes, since a megabyte of gzip can expand to a gigabyte.
func unpack(packed []byte) (string, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return "", errMalformed
	}
	text, err := io.ReadAll(io.LimitReader(r, MaxListBytes+1))
	switch {
	case len(text) > MaxListBytes:
		return "", errTooLarge
	case err != nil:
		return "", errMalformed
	}
	return string(text), nil
}

// unpackText sets Text from Packed. A plain list, as older builds write it,
// is left unchanged.
func (p *Publish) unpackText() error {
	if len(p.Packed) == 0 {
		return nil
	}
	if p.Text != "" {
		return errBothForms
	}
	text, err := unpack(p.Packed)
	p.Text = text
	return err
}

// wireForm returns the list as it is stored and sent: without Text if it has
// a packed form, else as plain text. A snapshot thereby keeps the form of the
// original record, and no list is compressed twice.
func (p Publish) wireForm() Publish {
	if len(p.Packed) > 0 {
		p.Text = ""
	}
	return p
}

// plainForm returns the list for a peer whose build cannot read packed lists.
func (p Publish) plainForm() Publish {
	p.Packed = nil
	return p
}
