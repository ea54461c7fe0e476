/*
 * Fuzzing of parsers.  Inputs are files of a small corpus with random
 * mutations; the same seed gives the same inputs.
 *
 * Every input must be accepted, or refused with a typed error that has a
 * message; under a sanitizer, a memory error ends the run.  The environment
 * variables FUZZ_N and FUZZ_SEED set the number of inputs of each kind and the
 * seed.
 */
#ifndef FUZZ_H
#define FUZZ_H

#include <glib.h>
#include <stdbool.h>

/* Passes one input to a parser; returns false and sets *err if refused. */
typedef bool (*fuzz_parser_t)(const GString *input, GError **err);

/* Fuzzes a parser with the corpus files whose names start with the prefix. */
void fuzz_parser(const char *prefix, fuzz_parser_t parse);

#endif
