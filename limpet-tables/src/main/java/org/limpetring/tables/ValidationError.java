package org.limpetring.tables;

/**
 * One reason why a table or a settings file is rejected. The component names appear in the JSON
 * reports of {@code limpetctl}.
 *
 * @param table table or file that contains the error
 * @param line line number from 1, or 0 if the error has no line
 * @param field path of the field, as a JSON pointer
 * @param reason what is wrong, as text
 */
public record ValidationError(String table, int line, String field, String reason) {

  @Override
  public String toString() {
    return table + ":" + line + ": " + field + ": " + reason;
  }
}
