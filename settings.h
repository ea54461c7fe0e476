/*
 * Settings of an entry host's daemon, read from an INI file: its name and
 * failure domain, the addresses it listens on, the address of the store, the
 * peer key and the digests of the operators' secrets.  geraniumhoistd.conf(5)
 * is the reference.
 */
#ifndef SETTINGS_H
#define SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "core_document.h"
#include "core_ini.h"
#include "log.h"

typedef struct settings_operator {
	/* Name of the operator: a department, or "platform". */
	char name[GH_NAME_MAX + 1];
	char salt[65];	 /* salt of the secret, in hexadecimal */
	char digest[65]; /* SHA-256 of salt and secret, in hexadecimal */
} settings_operator_t;

typedef struct settings {
	char name[GH_NAME_MAX + 1];
	char domain[GH_NAME_MAX + 1];
	char address[GH_ADDRESS_MAX + 1]; /* IPv4 address to listen on */
	uint16_t front_port;
	uint16_t console_port;
	uint16_t peer_port;
	/* Maximum of connections from callers. */
	uint32_t front_connections;
	uint32_t front_body_mb; /* memory for bodies of callers */
	/* Address of the store, "http://a.b.c.d:port". */
	char store_url[256];
	uint32_t store_timeout_ms;
	/* Limit of this host's calls to the store per second. */
	uint32_t store_calls_per_s;
	/*
	 * First part of the name of every key that the host uses in the key-
	 * value service.
	 */
	char prefix[64];
	/* Key that authenticates peers, the same on all entry hosts. */
	uint8_t peer_key[32];
	/*
	 * Consoles of peers to fetch a document from, each "ip:console_port".
	 */
	char **seeds;
	size_t n_seeds;
	log_level_t log_level;
	/* File to which events are recorded for replay; empty: no recording. */
	char trace_file[256];
	settings_operator_t *operators;
	size_t n_operators;
} settings_t;

/*
 * Parses an INI file without checking its groups and keys.  Returns NULL with
 * GH_E_FILE_MISSING or GH_E_SYNTAX.
 */
gh_ini_t *settings_read_ini(const char *path, GError **err);

/*
 * Reads and checks a settings file.  Returns NULL with an error that names the
 * file, the group and the key that are wrong.
 */
settings_t *settings_load(const char *path, GError **err);
void settings_free(settings_t *settings);

/* Returns the operator with this name, or NULL. */
const settings_operator_t *settings_operator(const settings_t *settings,
					     const char *name);

#endif
