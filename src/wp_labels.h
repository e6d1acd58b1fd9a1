/* Label sets and label selectors.
 *
 * A selector is a list of terms that must all hold, separated by commas:
 *   key=value  key==value  key!=value  key in (a,b)  key notin (a,b)
 *   key  !key
 * The syntax is that of common label selectors. The empty selector matches
 * everything. */
#ifndef WP_LABELS_H
#define WP_LABELS_H

#include "wp_base.h"

typedef struct WPLabels WPLabels; /* small map, ordered by key */
typedef struct WPSelector WPSelector;

/* Returns an empty set. */
WPLabels *wp_labels_new(void);

/* Returns a copy; free with wp_labels_free(). */
WPLabels *wp_labels_copy(const WPLabels *l);
void wp_labels_free(WPLabels *l);

/* Sets a label; returns whether that changed anything. */
bool wp_labels_set(WPLabels *l, WPStr key, WPStr value);

/* Returns the value of `key` as a NUL-terminated string owned by `l`; NULL if
   the key is absent or `l` is NULL. */
const char *wp_labels_get(const WPLabels *l, WPStr key);

/* Returns the number of labels; `l` must not be NULL. */
size_t wp_labels_count(const WPLabels *l);

/* Sets `key` and `value` to those of label `i` in the order of the keys; both
   are owned by `l`. */
void wp_labels_at(const WPLabels *l, size_t i, const char **key,
                  const char **value);

/* Compiles a selector. Returns NULL and sets `error`, which names the invalid
   term, if `text` is not a selector. */
WPSelector *wp_selector_new(WPStr text, GError **error);
void wp_selector_free(WPSelector *s);

/* Returns whether the selector matches `labels`. A label in `overrides`, which
   may be NULL, takes precedence over the same key in `labels`. */
bool wp_selector_match(const WPSelector *s, const WPLabels *overrides,
                       const WPLabels *labels);

/* Calls `fn` with `arg` and the key of each term of the selector. */
void wp_selector_keys(const WPSelector *s, void (*fn)(void *, const char *),
                      void *arg);

#endif
