#!/bin/sh
# Puts the program and the libraries it needs under target/deps.
set -eu
stamp=target/deps/.built-$(cat deploy/requirements.txt constraints.txt | sha256sum | cut -c1-16)
if [ ! -e "$stamp" ]; then
  rm -rf target/deps
  python3 -m pip install --quiet --disable-pip-version-check \
    --target target/deps -c constraints.txt -r deploy/requirements.txt
  touch "$stamp"
fi
for package in packages/pomelobank-schema packages/pomelobank-core \
  packages/pomelobank-node platform; do
  cp -r "$package"/src/. target/deps/
done
# The machines read the files only; without this each start compiles them anew.
python3 -m compileall -q target/deps
