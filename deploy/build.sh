#!/usr/bin/env bash
# Installs the workspace packages and the libraries of the daemon below target/deps.
set -eu
cd "$(dirname "$0")/.."
packages=(packages/agatecross-core packages/agatecross-adapters packages/agatecross-daemon platform)
sources=$(find "${packages[@]}" constraints.txt deploy/build.sh -name '*.egg-info' -prune -o -type f \( -name '*.py' -o -name '*.toml' -o -name '*.txt' -o -name '*.sh' \) -print0 | sort -z | xargs -0 sha256sum | sha256sum)
libraries=$(cat constraints.txt deploy/build.sh | sha256sum)
mkdir -p target
if [ "$(cat target/libraries.sum 2>/dev/null)" != "$libraries" ]; then
    rm -rf target/deps target/sources.sum
    python3 -m pip install -q --disable-pip-version-check -c constraints.txt --target target/deps \
        tornado msgspec absl-py httptools prometheus_client pynng opentelemetry-sdk \
        opentelemetry-exporter-otlp-proto-http
    echo "$libraries" >target/libraries.sum
fi
if [ "$(cat target/sources.sum 2>/dev/null)" != "$sources" ]; then
    for package in "${packages[@]}"; do
        for module in "$package"/agatecross_*/; do
            name=$(basename "$module")
            case "$name" in *.egg-info) continue ;; esac
            rm -rf "target/deps/$name"
            cp -r "$module" "target/deps/$name"
        done
    done
    python3 -m compileall -q target/deps || true
    echo "$sources" >target/sources.sum
fi
