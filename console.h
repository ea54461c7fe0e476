/*
 * The HTTP console for operators: JSON endpoints for status, counters, the
 * document, jobs and draining, and HTML pages with forms that edit the
 * document.  Other entry hosts read the document and forward calls here.
 */
#ifndef CONSOLE_H
#define CONSOLE_H

#include <stdbool.h>

#include <glib.h>

typedef struct node node_t;
typedef struct console console_t;

/* Creates a console, which does not listen before console_start(). */
console_t *console_new(node_t *node);

/*
 * Starts to listen at the address and console_port of the settings.  Fails
 * with GH_E_SYSTEM when the address is invalid or can't be bound.
 */
bool console_start(console_t *console, GError **err);

/* Stops listening, if started, and frees the console; NULL is allowed. */
void console_free(console_t *console);

#endif
