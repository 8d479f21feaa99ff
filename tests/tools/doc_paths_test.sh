#!/usr/bin/env bash
# Checks that each repository path in backticks on a page exists: src/..., include/..., tests/..., tools/...,
# bench/..., docs/..., deploy/..., cmake/...; * matches any text.
#   doc_paths_test.sh ROOT
set -u
cd "$1" || exit 1
failed=0
for page in README.md docs/*.md docs/design/*.md docs/operators/*.md; do
  while IFS= read -r path; do
    compgen -G "$path" >/dev/null && continue
    echo "$page names $path, which does not exist"
    failed=1
  done < <(grep -oE '`(src|include|tests|tools|bench|docs|deploy|cmake)/[A-Za-z0-9_./*-]*`' "$page" | tr -d '`' | sort -u)
done
exit $failed
