/*
 * HTTP requests of a scripted server, read from a socket of its own.
 */
#ifndef RAW_SERVER_H
#define RAW_SERVER_H

#include <stdbool.h>
#include <stddef.h>

/* Holds the largest address, "127.0.0.1:65535". */
#define RAW_ADDRESS_MAX 32

/* Listens on a free port of 127.0.0.1; returns the socket, or -1. */
int raw_listen(char address[RAW_ADDRESS_MAX]);
/* Reads a request with its body; returns false if the connection ends first. */
bool raw_read_request(int fd);
/* The same, with its text; one that is too long counts as ended. */
bool raw_read_text(int fd, char *text, size_t size);
/*
 * Whether a request to a worker only asks for its report: a lease renewal that
 * neither grants nor acknowledges.
 */
bool raw_is_probe(const char *text);

#endif
