/** Adapters that reach the platform over HTTP and JSON. */
@NullMarked
package org.limpetring.store.http;

import org.jspecify.annotations.NullMarked;
