package clientload

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
)

// Chunked is the header line of a body without a length.
const Chunked = "Transfer-Encoding: chunked"

// LengthOf returns the header line of a body of n bytes.
func LengthOf(n int) string { return "Content-Length: " + strconv.Itoa(n) }

// Header returns the header of a request with a body. Its lines are framing and further ones.
func Header(method, path string, lines ...string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: shop.example\r\n%s\r\n\r\n", method, path, strings.Join(lines, "\r\n"))
}

// ShortOf returns a body of spaces of the given size without its last byte.
func ShortOf(size int) []byte { return bytes.Repeat([]byte{' '}, size-1) }

// SendPieces sends data piece by piece.
func SendPieces(c net.Conn, data []byte, size int) error {
	for piece := range slices.Chunk(data, size) {
		if _, err := c.Write(piece); err != nil {
			return err
		}
	}
	return nil
}

// SendChunks sends data in chunks of a size, without the last chunk.
func SendChunks(c net.Conn, data []byte, size int) error {
	w := bufio.NewWriter(c)
	for chunk := range slices.Chunk(data, size) {
		if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(chunk), chunk); err != nil {
			return err
		}
	}
	return w.Flush()
}

// SendWhole sends a request with its body and reads the answer, several times on one connection.
func SendWhole(c net.Conn, header string, body []byte, times int) error {
	in := bufio.NewReader(c)
	for range times {
		if _, err := io.WriteString(c, header); err != nil {
			return err
		}
		if _, err := c.Write(body); err != nil {
			return err
		}
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return err
		}
		_, _ = io.Copy(io.Discard, resp.Body)
	}
	return nil
}

// SendEndlessHeader sends lines of a header, bytes in all, without its end.
func SendEndlessHeader(c net.Conn, bytes int) error {
	if _, err := io.WriteString(c, "POST /quote/ HTTP/1.1\r\nHost: shop.example\r\n"); err != nil {
		return err
	}
	line := "X-A: " + strings.Repeat("a", 120) + "\r\n"
	return SendPieces(c, []byte(strings.Repeat(line, bytes/len(line))), 1024)
}
