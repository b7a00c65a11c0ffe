package commandline

import (
	"fmt"
	"io"
	"os"

	"siskintide.example/siskintide/internal/settings"
	"siskintide.example/siskintide/platform"
)

// maxHostMB bounds the memory of a host, so that it can be counted in bytes.
const maxHostMB = 1 << 30

// runCheckRoutes reviews a configuration in the platform's form and compares it with the one in force.
func runCheckRoutes(s *session) error {
	values := s.arguments.positionals()
	if len(values) != 1 {
		return &InputError{Argument: "check-routes", Got: fmt.Sprint(values), Accepted: "one file"}
	}
	if s.arguments.hostMB < 1 || s.arguments.hostMB > maxHostMB {
		accepted := fmt.Sprintf("1 to %d", maxHostMB)
		return &InputError{Argument: "--host-memory-mb", Got: fmt.Sprint(s.arguments.hostMB), Accepted: accepted}
	}
	config, err := readFile(values[0])
	if err != nil {
		return err
	}
	var inForce []byte
	if s.arguments.inForce != "" {
		if inForce, err = readFile(s.arguments.inForce); err != nil {
			return err
		}
	}
	review, err := platform.ReviewConfig(config, inForce, s.arguments.hostMB)
	if err != nil {
		return fmt.Errorf("check %s: %w", values[0], err)
	}
	if err := s.show(review, func() error { return writeReview(s.env.Out, review, inForce != nil) }); err != nil {
		return err
	}
	if len(review.Findings) > 0 {
		return &FindingsError{Path: values[0], Count: len(review.Findings)}
	}
	return nil
}

// readFile returns the contents of a file, which are never nil. Every error is a *settings.ReadError.
func readFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &settings.ReadError{Path: path, Err: err}
	}
	return data, nil
}

// writeReview writes a review as text. compared says whether there was a configuration in force to compare with.
func writeReview(out io.Writer, review *platform.ConfigReview, compared bool) error {
	lines := []string{"Findings:"}
	for _, f := range review.Findings {
		lines = append(lines, fmt.Sprintf("  %s: %s: %s (%s)", f.Class, entryText(f.Section, f.Name, f.Index), f.Message, f.Code))
	}
	if len(review.Findings) == 0 {
		lines = append(lines, "  none")
	}
	if compared {
		lines = append(lines, "Differences from the configuration in force:")
		for _, d := range review.Differences {
			lines = append(lines, "  "+differenceText(d))
		}
		if len(review.Differences) == 0 {
			lines = append(lines, "  none")
		}
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(out, line); err != nil {
			return fmt.Errorf("write review: %w", err)
		}
	}
	return nil
}

// entryText names an entry, by its position if it has no name. Names are quoted, since they may hold any characters.
func entryText(section, name string, index int) string {
	switch {
	case name != "":
		return fmt.Sprintf("%s %q", section, name)
	case section == "document" || section == "limits":
		return section
	}
	return fmt.Sprintf("%s [%d]", section, index)
}

// differenceText shows a difference as plans do: + for an added entry, - for a removed one, ~ for a changed value.
func differenceText(d platform.ConfigDifference) string {
	entry := d.Section
	if d.Name != "" {
		entry = fmt.Sprintf("%s %q", d.Section, d.Name)
	}
	switch d.Change {
	case "added":
		return "+ " + entry
	case "removed":
		return "- " + entry
	}
	return fmt.Sprintf("~ %s: %s from %q to %q", entry, d.Field, d.From, d.To)
}
