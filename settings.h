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
	char name[GH_NAME_MAX + 1]; /* department, or "platform" */
	char salt[65];		    /* hexadecimal */
	char digest[65];	    /* hexadecimal SHA-256 of salt and secret */
} settings_operator_t;

typedef struct settings {
	char name[GH_NAME_MAX + 1];
	char domain[GH_NAME_MAX + 1];
	char address[GH_ADDRESS_MAX + 1]; /* IPv4 address to listen on */
	uint16_t front_port;
	uint16_t console_port;
	uint16_t peer_port;
	uint32_t front_connections; /* maximum of caller connections */
	char store_url[256];	    /* "http://a.b.c.d:port" */
	uint32_t store_timeout_ms;
	uint32_t store_calls_per_s; /* rate limit of this host */
	char prefix[64];	    /* first part of every key in the store */
	uint8_t peer_key[32];	    /* shared by all entry hosts */
	/* Consoles of peers to fetch a document from: "ip:console_port" */
	char **seeds;
	size_t n_seeds;
	log_level_t log_level;
	char trace_file[256]; /* records events for replay; empty: none */
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
