#!/usr/bin/env bash
echo "smoke: not built yet"
