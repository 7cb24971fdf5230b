package ctl

import (
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/galenalever/galenalever/internal/decision/accept"
	"github.com/galenalever/galenalever/internal/document"
	"github.com/galenalever/galenalever/internal/findings"
	"github.com/galenalever/galenalever/internal/model"
)

// The layout of a directory with a settings tree.
const (
	rootFile      = "root.yaml"
	teamsDir      = "teams"
	evacuationDir = "evacuations"
	fileExtension = ".yaml"
)

// fileTree holds the documents of a settings tree in a directory.
type fileTree struct {
	dir       string
	documents map[model.Key]fileDocument
	// unexpectedFiles has a finding for each YAML file that is not part of the layout.
	unexpectedFiles findings.List
}

type fileDocument struct {
	path string
	text []byte
}

// readTree reads all documents of a directory. A missing root document or a missing
// directory of teams or evacuations is not an error.
func readTree(dir string) (*fileTree, error) {
	tree := &fileTree{dir: dir, documents: map[model.Key]fileDocument{}}
	if err := tree.readFiles(dir, tree.rootKey); err != nil {
		return nil, err
	}
	for _, sub := range []struct {
		dir   string
		keyOf func(name string) (model.Key, bool)
	}{{teamsDir, teamKey}, {evacuationDir, evacuationKey}} {
		documents := filepath.Join(dir, sub.dir)
		if _, err := os.Stat(documents); os.IsNotExist(err) {
			continue
		}
		if err := tree.readFiles(documents, sub.keyOf); err != nil {
			return nil, err
		}
	}
	return tree, nil
}

// readFiles reads the YAML files of one directory. keyOf returns the key of the
// document in a file, or false if the file is not part of the layout.
func (t *fileTree) readFiles(dir string, keyOf func(name string) (model.Key, bool)) error {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return eris.Wrap(err, "reading the settings tree")
	}
	for _, entry := range entries {
		path := filepath.Join(dir, entry.Name())
		if entry.IsDir() || !isYAML(entry.Name()) {
			continue
		}
		key, ok := keyOf(entry.Name())
		if !ok {
			t.unexpectedFiles.Addf(findings.Location{Source: path}, "file is neither %s nor %s/NAME%[3]s nor %[4]s/DOMAIN%[3]s",
				rootFile, teamsDir, fileExtension, evacuationDir)
			continue
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return eris.Wrap(err, "reading a document")
		}
		t.documents[key] = fileDocument{path: path, text: text}
	}
	return nil
}

func isYAML(name string) bool {
	extension := filepath.Ext(name)
	return extension == fileExtension || extension == ".yml"
}

func (t *fileTree) rootKey(name string) (model.Key, bool) {
	return model.RootKey, name == rootFile
}

func teamKey(name string) (model.Key, bool) {
	team, ok := strings.CutSuffix(name, fileExtension)
	return model.TeamKey(model.TeamName(team)), ok
}

func evacuationKey(name string) (model.Key, bool) {
	domain, ok := strings.CutSuffix(name, fileExtension)
	return model.EvacuationKey(model.FailureDomain(domain)), ok
}

// check returns the findings within each document and those between documents, with
// the same code that decides on nodes which subtrees run. Without a valid root document
// only the former are returned, since no team would be granted what it claims.
func (t *fileTree) check() findings.List {
	const revision = 1
	cut := model.Cut{Revision: revision, Subtrees: map[model.Key]*model.Subtree{}}
	for key, d := range t.documents {
		cut.Subtrees[key] = document.NewSubtree(key, revision, d.text, false)
	}
	list := slices.Clone(t.unexpectedFiles)
	root := cut.Subtrees[model.RootKey]
	if root == nil {
		list.Addf(findings.Location{Source: filepath.Join(t.dir, rootFile)}, "file is missing; claims are not checked")
	}
	checksClaims := root != nil && len(root.Rejected) == 0
	for _, held := range accept.New(document.Decode).Accept(cut).Held {
		if checksClaims || len(cut.Subtrees[held.Key].Rejected) > 0 {
			list = append(list, held.Findings...)
		}
	}
	for i := range list {
		list[i].Location = t.locate(list[i].Location)
	}
	list.Sort()
	return slices.Compact(list)
}

// locate replaces the key in a location by the file, and adds the line and column of the
// path if the line is missing. A location outside the documents is returned unchanged.
func (t *fileTree) locate(location findings.Location) findings.Location {
	d, ok := t.documents[model.Key(location.Source)]
	if !ok {
		return location
	}
	if location.Line == 0 {
		return document.Locate(d.path, d.text, location.Path)
	}
	location.Source = d.path
	return location
}
