/** Immutable data types of the entry host, without I/O or logic. */
@NullMarked
package org.limpetring.entry.model;

import org.jspecify.annotations.NullMarked;
