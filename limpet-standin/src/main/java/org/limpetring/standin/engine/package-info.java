/** Stand-in for a model engine. */
@NullMarked
package org.limpetring.standin.engine;

import org.jspecify.annotations.NullMarked;
